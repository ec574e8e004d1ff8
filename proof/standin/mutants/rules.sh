#!/usr/bin/env bash
# Plants a fault at a time of those that keep a rule, an incarnation, a patch or a
# telling in order, in a copy of the committed sources, and asks whether the named test
# fails. Usage: proof/standin/mutants/rules.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/../../.."
source proof/standin/mutants/unit.sh

guard=control/quorum/incarnation.go patches=control/lease/patches.go
# rules of the users that no other script breaks
mutant tries-unbounded traffic/forward TestNoMoreServersThanTries traffic/forward/request.go 'r.countedSends >= r.maxAttempts() ||' 'r.countedSends >= 9+r.maxAttempts() ||'
mutant whole-time platform TestAServerIsHandedTheTimeThatIsLeft platform/exchange.go 'max(1, (call.deadline-e.now()).Milliseconds())' '3600000'
mutant goes-on-for-nobody traffic/gateway TestAClientThatIsGone traffic/gateway/execute.go 'm, ctx.Err() != nil || has.clientGone)' 'm, has.clientGone)'
mutant past-give-up traffic/gateway TestARequestIsGivenUpWhenItsRouteSaysSo traffic/gateway/gateway.go 'arrivedAt + time.Duration(r.GiveUpMillis)*time.Millisecond' 'arrivedAt + time.Hour'
mutant weights-passed-over traffic/route TestPickFollowsTheWeights traffic/route/route.go 'if at < s.Weight {' 'if at < 50*s.Weight {'
mutant unready-at-changes control/daemon TestAChangeMakesNoDaemonUnready control/daemon/readiness.go ' || d.readiness.wasReadyWithin(d.Now(), d.Cfg.VolumeLease())' ''
mutant ends-while-it-changes control/membership TestADaemonHandsOverWhileItsGroupChanges control/membership/view.go 'len(g.Next) > 0 || v.hasReplacement(g)' 'v.hasReplacement(g)'
mutant prompts-count-as-waiting traffic/forward TestWhoWaitsTooLongIsRefused traffic/forward/admission.go 'may := max(r.TTFTTarget-r.predictedPrefill, r.TTFTTarget/2)' 'may := r.TTFTTarget - r.predictedPrefill'
# incarnations
mutant any-incarnation control/quorum TestWhichIncarnationsAreAdmitted $guard 'if claims.StartState.Epoch != 0 && precedes(claims.StartState, known.State) {' 'if claims.StartState.Epoch != 0 && false {'
mutant blind-to-itself control/quorum TestWhatSupersedesAReplica $guard 'if !r.guard.folder.descendsFrom(claims.KnownState) {' 'if r.guard.folder.descendsFrom(claims.KnownState) && false {'
mutant strangers-count control/quorum TestAStrangerSupersedesNobody $guard 'claims.KnownEpoch != 0 && r.isReplicaOfGroup(from, claims.Group) &&' 'claims.KnownEpoch != 0 &&'
mutant heard-too-early control/quorum TestAPeerLearnsOfAnIncarnationBeforeItIsAdmitted $guard 'r.sendNotice(from.Replica, out)
	return false
}' 'r.sendNotice(from.Replica, out)
	return true
}'
mutant not-asked-anew control/quorum TestAVoteRequestGoesToTheNextIncarnation $guard 'if !r.election.preVotes[to.Ident] {' 'if r.election.preVotes[to.Ident] {'
mutant peers-in-memory-only control/quorum TestPeerIncarnationsAreSaved $guard 'if r.guard.unsaved && now' 'if r.guard.unsaved && r.resigned && now'
mutant leader-tells-nobody control/quorum TestALeaderAnnouncesPeerIncarnations control/quorum/heartbeat.go ', Peers: r.announcePeers(to)}' '}'
mutant superseded-goes-on control/storage TestSupersededStateIsQuarantined control/storage/quarantine.go 'return errSuperseded' 'return s.openState(fleet)'
mutant left-state-claims control/storage TestRestoredStateDisownsIncarnations control/storage/head.go 'starts += restoredStarts' 'starts += 0'
mutant spoilt-past-counts control/storage TestCorruptIncarnationsAreDisowned control/storage/load.go 'if r.Past != r.PastSum() {' 'if r.Past == 0 && r.PastSum() != 0 {'
# what goes down the tree, joined changes, formats
mutant patch-on-any-base control/lease TestACorruptPatchIsNotServed $patches 'err != nil || patch.From != record.Version' 'err != nil && patch.From != record.Version'
mutant patches-end-at-relays control/lease TestAChangeIsSentAsAPatch $patches '	p.setChain(granted.Key, chain)
' ''
mutant patch-without-sum control/fleetconfig TestAPatchFitsOnlyItsBase control/fleetconfig/codec.go 'zstd.WithEncoderLevel(zstd.SpeedFastest),' 'zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderCRC(false),'
mutant refused-by-what-is-lost control/partition TestMergedJobsFailTogether control/partition/batch.go 'case j.writesNought && outcome == Done:' 'case j.writesNought:'
mutant format-not-asked control/leader TestAPlanThatNotAllDaemonsRead control/leader/configcalls.go 'format > 0 && p.Needs > format' 'format > 9 && p.Needs > format'
# what is told of the servers' load
mutant all-is-told traffic/loadreport TestLoadReportsAreBounded traffic/loadreport/exchange.go 'if !readsChanges(to) {' 'if readsChanges(to) {'
mutant never-in-turn traffic/loadreport TestMissedReportsAreMadeUpInTurn traffic/loadreport/changes.go 'key%refreshReports == t.turn%refreshReports &&' 'key%refreshReports == t.turn%refreshReports && t.turn == 0 &&'
exit $missed
