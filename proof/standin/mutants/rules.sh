#!/usr/bin/env bash
# Plants one fault at a time in the code that enforces rules, incarnations, patches and
# load reports, in a copy of the committed sources, and checks that the named test fails.
# Usage: proof/standin/mutants/rules.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/../../.."
source proof/standin/mutants/unit.sh

guard=control/quorum/incarnation.go patches=control/lease/patches.go
# users' rules that no other script breaks
mutant tries-unbounded traffic/forward TestNoMoreServersThanTries traffic/forward/request.go 'r.countedSends >= r.maxAttempts() ||' 'r.countedSends >= 9+r.maxAttempts() ||'
mutant whole-time platform TestAServerIsHandedTheTimeThatIsLeft platform/exchange.go 'max(1, (call.deadline-e.now()).Milliseconds())' '3600000'
mutant goes-on-for-nobody traffic/gateway TestAClientThatIsGone traffic/gateway/execute.go 'm, ctx.Err() != nil || has.clientGone)' 'm, has.clientGone)'
mutant past-give-up traffic/gateway TestARequestIsGivenUpWhenItsRouteSaysSo traffic/gateway/gateway.go 'arrivedAt + time.Duration(r.GiveUpMillis)*time.Millisecond' 'arrivedAt + time.Hour'
mutant weights-passed-over traffic/route TestPickFollowsTheWeights traffic/route/route.go 'if at < s.Weight {' 'if at < 50*s.Weight {'
mutant unready-at-changes control/daemon TestAChangeMakesNoDaemonUnready control/daemon/readiness.go ' || d.readiness.wasReadyWithin(d.Now(), d.Cfg.VolumeLease())' ''
mutant ends-while-it-changes control/membership TestADaemonHandsOverWhileItsGroupChanges control/membership/view.go 'len(g.Next) > 0 || v.hasReplacement(g)' 'v.hasReplacement(g)'
mutant prompts-count-as-waiting traffic/forward TestWhoWaitsTooLongIsRefused traffic/forward/admission.go 'may := max(r.TTFTTarget-r.predictedPrefill, r.TTFTTarget/2)' 'may := r.TTFTTarget - r.predictedPrefill'
# keys and limits of tenants
limits=control/ratelimit/ratelimit.go
mutant bucket-starts-full control/ratelimit TestABucketBeginsEmpty $limits 'b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since}' 'b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since, tokens: r.Limit.Burst}'
mutant full-at-each-change traffic/limiter TestNoWindowHasMoreThanTheLimit $limits 'b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since}' 'b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since, tokens: 40 * r.Limit.Burst}'
mutant bucket-without-burst traffic/limiter TestNoWindowHasMoreThanTheLimit $limits 'b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*(now-b.filledAt).Seconds())' 'b.tokens += b.limit.Rate * (now - b.filledAt).Seconds()'
mutant token-without-end traffic/limiter TestNoWindowHasMoreThanTheLimit traffic/limiter/limiter.go 'return askedAt + a.division.Validity' 'return askedAt + time.Hour'
mutant each-has-the-whole traffic/limiter TestNoWindowHasMoreThanTheLimit $limits 'Rate: l.Rate / float64(buckets)' 'Rate: l.Rate'
mutant first-version-counts control/ratelimit TestALaterVersionSetsTheLimit $limits 'if r.Version > b.version {' 'if r.Version < b.version {'
mutant empty-is-asked-again traffic/limiter TestTheNearestLeaderIsAskedFirst traffic/limiter/limiter.go '= now + retryAfter' '= now'
mutant limits-outlive-leaders control/leader TestANewLeadershipBeginsWithEmptyBuckets control/leader/leader.go '	c.limits = nil
	c.orders.since' '	c.orders.since'
mutant token-for-many-runs traffic/gateway TestEachRunTakesAToken traffic/gateway/limit.go 'func (p *permit) use() { p.until = 0 }' 'func (p *permit) use() {}'
mutant lapsed-token-runs traffic/gateway TestATokenThatLapsedIsTakenAnew traffic/gateway/limit.go 'return now < p.until' 'return p.until > 0'
mutant key-is-shown platform TestEveryCallNamesTheTenant platform/names.go 'hdrTenant, hdrKey,' 'hdrTenant,'
mutant tenant-is-believed platform TestARequestReachesTheServerAsItWasSent platform/names.go 'hdrTenant, hdrKey,' 'hdrKey,'
mutant prompt-without-tenant platform TestEveryCallNamesTheTenant platform/engine.go 'if c.Tenant != "" {' 'if c.Tenant != "" && decision.Handle != nil {'
mutant unknown-key-is-served traffic/gateway TestWhoIsAdmitted traffic/gateway/admit.go 'case a.tenant != nil || route.Public || !p.tenants.Required():' 'case a.tenant != nil || route.Public || q.Key != "":'
mutant key-outlives-its-tenant traffic/gateway TestAKeyThatIsTakenAwayMeanwhile traffic/gateway/admit.go 'return tenant != nil && tenant.Name == a.tenant.Name' 'return tenant != nil'
mutant key-of-two-tenants control/fleetconfig TestFaultsNameNoKey control/fleetconfig/keys.go 'ok && first != i {' 'ok && first == i {'
mutant older-builds-serve-all control/fleetconfig TestAPlanWithKeysNeedsTheFormatOfKeys control/fleetconfig/judge.go 'plan.Needs = plan.RequiredFormat()' ''
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
# records sent to child daemons, merged changes, formats
mutant patch-on-any-base control/lease TestACorruptPatchIsNotServed $patches 'err != nil || patch.From != record.Version' 'err != nil && patch.From != record.Version'
mutant patches-end-at-relays control/lease TestAChangeIsSentAsAPatch $patches '	p.setChain(granted.Key, chain)
' ''
mutant patch-without-sum control/fleetconfig TestAPatchFitsOnlyItsBase control/fleetconfig/codec.go 'zstd.WithEncoderLevel(zstd.SpeedFastest),' 'zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderCRC(false),'
mutant refused-by-what-is-lost control/partition TestMergedJobsFailTogether control/partition/batch.go 'case j.writesNought && outcome == Done:' 'case j.writesNought:'
mutant format-not-asked control/leader TestAPlanThatNotAllDaemonsRead control/leader/configcalls.go 'format > 0 && needs > format' 'format > 9 && needs > format'
# load reports
mutant all-is-told traffic/loadreport TestLoadReportsAreBounded traffic/loadreport/exchange.go 'if !readsChanges(to) {' 'if readsChanges(to) {'
mutant never-in-turn traffic/loadreport TestMissedReportsAreMadeUpInTurn traffic/loadreport/changes.go 'key%refreshReports == t.turn%refreshReports &&' 'key%refreshReports == t.turn%refreshReports && t.turn == 0 &&'
exit $missed
