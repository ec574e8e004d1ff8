#!/usr/bin/env bash
# Plants one fault at a time in the handling of answers and of calls that must not be
# repeated, in a copy of the committed sources, and checks that the named test fails.
# Usage: proof/standin/mutants/answers.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/../../.."
source proof/standin/mutants/unit.sh

exchange=platform/exchange.go spoilt=TestCorruptedServerAnswers head=wire/httpresponse/head.go
mutant doubt-reused platform $spoilt $exchange 'reusable: clean && s.isComplete()' 'reusable: (clean || !clean) && s.isComplete()'
mutant bytes-behind platform $spoilt platform/conn.go 'c.reader.Buffered() > 0' 'c.reader.Buffered() < 0'
mutant any-id platform $spoilt $exchange 'len(got) == 1 && got[0] == id' 'len(got) >= 1'
mutant no-seal platform $spoilt platform/engine.go 'len(r.Header[hdrSeal]) != 1 ||' 'len(r.Header[hdrSeal]) > 9 ||'
mutant not-run-success platform $spoilt platform/engine.go ' || r.StatusCode < 400' ''
mutant unsafe-resent platform $spoilt traffic/forward/request.go 'last.State == attempt.Lost && last.Phase == attempt.Decode && !r.Repeatable' 'last.State == attempt.Lost && last.Phase == attempt.Decode && !r.Repeatable && r.arrivedAt < 0'
mutant reset-is-not-sent platform $spoilt $exchange 'p.written == 0 && p.err != nil' 'p.written >= 0'
mutant whole-when-reset platform $spoilt platform/answer.go 'a.complete = err == io.EOF
	return nil, "", err' 'a.complete = err == io.EOF
	return nil, "", io.EOF'
mutant end-in-upload platform $spoilt wire/httpresponse/body.go 'if err := b.requestSent(); err != nil {' 'if err := b.requestSent(); err != nil && b.reader == nil {'
mutant any-status platform $spoilt $head 'code[0] >= firstStatusClass && code[0] <= lastStatusClass' 'code[0] <= firstStatusClass+8'
mutant any-field-name platform $spoilt $head 'case !httpguts.ValidHeaderFieldName(string(name)):' 'case len(name) == 0 && !httpguts.ValidHeaderFieldName(string(name)):'
mutant id-twice platform TestDuplicateAnswerToAnEarlierCallIsNotUsed platform/conn.go ' && !c.hasCarried(n.notCarried)' ''
mutant shared-order platform TestOrderUsesADedicatedConnection platform/order.go 'connRequirements{dedicated: true}' 'connRequirements{}'
mutant forgets-again platform TestConnectionsToEarlyClosersAreReusedOnlyBriefly $exchange 'if c.used && ctx.Err() == nil' 'if c.used && ctx.Err() != nil'
mutant held-by-its-body platform TestAnswerBeforeTheRequestIsRead $exchange 'if len(b) <= maxInlineRequest {
		write()' 'if len(b) > 0 {
		write()'
mutant clients-stage platform TestSystemHeadersOfClientsAreNotForwarded platform/names.go '[]string{hdrStage, hdrPromptMemory,' '[]string{hdrPromptMemory,'
mutant hop-by-hop platform TestSystemHeadersOfClientsAreNotForwarded platform/engine.go '!strings.HasPrefix(k, headerPrefix)' 'k != headerPrefix'
mutant same-numbers control/leadercall TestAnswersToEarlierIncarnationAreIgnored control/leadercall/leadercall.go 'lastID: epoch << epochBits' 'lastID: 0 * epoch'
mutant anybodys-response control/leadercall TestAnswersToEarlierIncarnationAreIgnored control/leadercall/leadercall.go ' || from != answered.to' ''
mutant earlier-promise control/quorum TestVotesForEarlierIncarnationAreIgnored control/quorum/candidate.go 'grant.CandidateEpoch != 0 && grant.CandidateEpoch != r.epochs[r.self.Ident]' 'false'
mutant earlier-void control/quorum TestAbandonTermAppliesOnlyToItsIncarnation control/quorum/vote.go 'r.meta.VotedForEpoch != from.Epoch || ' ''
exit $missed
