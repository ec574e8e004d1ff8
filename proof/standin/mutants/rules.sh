#!/usr/bin/env bash
# Plants one fault at a time in the code that enforces rules, incarnations, patches and
# load reports, in a copy of the committed sources, and checks that the named test fails.
# Usage: proof/standin/mutants/rules.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/../../.."
source proof/standin/mutants/unit.sh

guard=control/quorum/incarnation.go patches=control/lease/patches.go
# users' rules that no other script breaks
mutant tries-unbounded traffic/forward TestSendsStayWithinMaxAttempts traffic/forward/request.go 'r.countedSends >= r.maxAttempts() ||' 'r.countedSends >= 9+r.maxAttempts() ||'
mutant whole-time platform TestServerGetsTheRemainingTime platform/exchange.go 'max(1, (call.deadline-sc.now()).Milliseconds())' '3600000'
mutant goes-on-for-nobody traffic/gateway TestClientDisconnects traffic/gateway/execute.go 'decision, ctx.Err() != nil || delivered.clientGone)' 'decision, delivered.clientGone)'
mutant past-give-up traffic/gateway TestRouteDeadlineBoundsRequest traffic/gateway/gateway.go 'arrivedAt + time.Duration(r.GiveUpMillis)*time.Millisecond' 'arrivedAt + time.Hour'
mutant weights-passed-over traffic/route TestPickFollowsTheWeights traffic/route/route.go 'if at < s.Weight {' 'if at < 50*s.Weight {'
mutant unready-at-changes control/daemon TestConfigurationChangesKeepDaemonReady control/daemon/readiness.go ' || d.readiness.wasReadyWithin(d.Now(), d.Cfg.VolumeLease())' ''
mutant ends-while-it-changes control/membership TestMustHandOverDuringGroupChange control/membership/view.go 'len(g.Next) > 0 || v.hasReplacement(g)' 'v.hasReplacement(g)'
mutant prompts-count-as-waiting traffic/forward TestRequestThatWouldWaitTooLongIsRefused traffic/forward/admission.go 'allowance := max(r.TTFTTarget-r.predictedPrefill, r.TTFTTarget/2)' 'allowance := r.TTFTTarget - r.predictedPrefill'
# keys and limits of tenants
limits=control/ratelimit/ratelimit.go
mutant bucket-starts-full control/ratelimit TestNewBucketIsEmpty $limits 'b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since}' 'b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since, tokens: r.Limit.Burst}'
mutant full-at-each-change traffic/limiter TestNoWindowExceedsLimit $limits 'b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since}' 'b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since, tokens: 40 * r.Limit.Burst}'
mutant bucket-without-burst traffic/limiter TestNoWindowExceedsLimit $limits 'b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*(now-b.filledAt).Seconds())' 'b.tokens += b.limit.Rate * (now - b.filledAt).Seconds()'
mutant token-without-end traffic/limiter TestNoWindowExceedsLimit traffic/limiter/limiter.go 'return askedAt + a.division.Validity' 'return askedAt + time.Hour'
mutant each-has-the-whole traffic/limiter TestNoWindowExceedsLimit $limits 'Rate: l.Rate / float64(buckets)' 'Rate: l.Rate'
mutant first-version-counts control/ratelimit TestLaterVersionSetsLimit $limits 'if r.Version > b.version {' 'if r.Version < b.version {'
mutant empty-is-asked-again traffic/limiter TestLeaderInSameZoneIsAskedFirst traffic/limiter/limiter.go '= now + retryAfter' '= now'
mutant limits-outlive-leaders control/leader TestNewLeadershipStartsWithEmptyBuckets control/leader/leader.go '	c.demands = map[string]demandNumber{}
	c.limits = nil' '	c.demands = map[string]demandNumber{}'
mutant token-for-many-runs traffic/gateway TestEachRunConsumesAToken traffic/gateway/limit.go 'func (p *permit) use() { p.until = 0 }' 'func (p *permit) use() {}'
mutant lapsed-token-runs traffic/gateway TestExpiredTokenIsReplaced traffic/gateway/limit.go 'return now < p.until' 'return p.until > 0'
mutant key-is-shown platform TestServerCallsNameTheTenant platform/names.go 'hdrTenant, hdrKey,' 'hdrTenant,'
mutant tenant-is-believed platform TestRequestsAreForwardedUnchanged platform/names.go 'hdrTenant, hdrKey,' 'hdrKey,'
mutant prompt-without-tenant platform TestServerCallsNameTheTenant platform/engine.go 'if c.Tenant != "" {' 'if c.Tenant != "" && decision.Handle != nil {'
mutant unknown-key-is-served traffic/gateway TestAdmission traffic/gateway/admit.go 'case a.tenant != nil || route.Public || !p.tenants.Required():' 'case a.tenant != nil || route.Public || req.Key != "":'
mutant key-outlives-its-tenant traffic/gateway TestKeyRevokedWhileRequestWaits traffic/gateway/admit.go 'return tenant != nil && tenant.Name == a.tenant.Name' 'return tenant != nil'
mutant key-of-two-tenants control/fleetconfig TestFaultsDoNotRevealKeys control/fleetconfig/keys.go 'ok && first != i {' 'ok && first == i {'
mutant empty-list-opens control/fleetconfig TestRemovingLastTenantKeepsKeysRequired control/fleetconfig/keys.go 'return p.KeysRequired || p.hasTenantsByKey()' 'return p.hasTenantsByKey()'
mutant empty-list-is-none platform TestEmptyCustomerList platform/plan.go 'p.KeysRequired = len(p.Tenants) == 0' ''
mutant last-removal-opens platform TestEmptyCustomerList control/fleetconfig/change.go 'next.KeysRequired = p.NeedsKeys() && !next.hasTenantsByKey()' 'next.KeysRequired = p.KeysRequired'
mutant earlier-list-is-none platform TestEmptyCustomerListOfEarlierBuild platform/customers.go 'p.KeysRequired = true' ''
mutant emptied-for-older-builds control/fleetconfig TestRemovingLastTenantKeepsKeysRequired control/fleetconfig/format.go 'return max(p.Needs, noTenantsFormat)' 'return max(p.Needs, keysFormat)'
mutant older-builds-serve-all control/fleetconfig TestPlanWithKeysRequiresKeysFormat control/fleetconfig/judge.go 'plan.Needs = plan.RequiredFormat()' ''
# orders without a version
repeats=control/leader/repeats.go
mutant one-record-is-the-basis control/leader TestAcknowledgedOrderEndsEarlierAttempts $repeats 'for _, key := range keys {' 'for _, key := range keys[1:] {'
mutant any-basis control/leader TestOrdersUnderDrawnFaults $repeats 'r.basis != (message.Version{}) && r.basis != basis' 'r.basis != (message.Version{}) && r.basis.Seq > 1<<40'
mutant calls-are-forgotten control/leader TestLateAttemptDoesNotUndoLaterOrder $repeats 'return p.Call == r.id' 'return false'
mutant age-of-the-look control/daemon TestOrderOlderThanItsCallersPatienceIsDropped control/daemon/caller.go 'max(age, time.Since(received))' 'max(age-age, time.Since(received))'
mutant hang-up-unseen control/daemon TestHangUpDuringFreezeCounts control/daemon/caller.go 'if r.Context().Err() != nil {' 'if r.Context().Err() != nil && r.Body == nil {'
# incarnations
mutant any-incarnation control/quorum TestIncarnationAdmission $guard 'if claims.StartState.Epoch != 0 && precedes(claims.StartState, known.State) {' 'if claims.StartState.Epoch != 0 && false {'
mutant blind-to-itself control/quorum TestReplicaIsSuperseded $guard 'if !r.guard.folder.descendsFrom(claims.KnownState) {' 'if r.guard.folder.descendsFrom(claims.KnownState) && false {'
mutant strangers-count control/quorum TestNonMemberDoesNotSupersede $guard 'claims.KnownEpoch != 0 && r.isReplicaOfGroup(from, claims.Group) &&' 'claims.KnownEpoch != 0 &&'
mutant heard-too-early control/quorum TestPeerLearnsIncarnationBeforeAdmission $guard 'r.sendNotice(from.Replica, out)
	return false
}' 'r.sendNotice(from.Replica, out)
	return true
}'
mutant not-asked-anew control/quorum TestVoteRequestIsResentToNewIncarnation $guard 'if !r.election.preVotes[to.Ident] {' 'if r.election.preVotes[to.Ident] {'
mutant peers-in-memory-only control/quorum TestPeerIncarnationsAreSaved $guard 'if r.guard.unsaved && now' 'if r.guard.unsaved && r.resigned && now'
mutant leader-tells-nobody control/quorum TestLeaderAnnouncesPeerIncarnations control/quorum/heartbeat.go ', Peers: r.announcePeers(to)}' '}'
mutant superseded-goes-on control/storage TestSupersededStateIsQuarantined control/storage/quarantine.go 'return errSuperseded' 'return s.openState(fleet)'
mutant left-state-claims control/storage TestRestoredStateDisownsIncarnations control/storage/header.go 'starts += restoreStartOffset' 'starts += 0'
mutant spoilt-past-counts control/storage TestCorruptIncarnationsAreDisowned control/storage/load.go 'if r.Past != r.IncarnationsSum() {' 'if r.Past == 0 && r.IncarnationsSum() != 0 {'
# records sent to child daemons, merged changes, formats
mutant patch-on-any-base control/lease TestCorruptPatchIsNotServed $patches 'err != nil || patch.From != record.Version' 'err != nil && patch.From != record.Version'
mutant patches-end-at-relays control/lease TestChangeIsSentAsPatch $patches '	p.setChain(granted.Key, chain)
' ''
mutant patch-without-sum control/fleetconfig TestPatchAppliesOnlyToItsBase control/fleetconfig/codec.go 'zstd.WithEncoderLevel(zstd.SpeedFastest),' 'zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderCRC(false),'
mutant refused-by-what-is-lost control/partition TestMergedJobsFailTogether control/partition/batch.go 'case j.isNoOp && outcome == Done:' 'case j.isNoOp:'
mutant format-not-asked control/leader TestPlanUnreadableBySomeDaemonIsRefused control/leader/configcalls.go 'format > 0 && needs > format' 'format > 9 && needs > format'
# load reports
mutant all-is-told traffic/loadreport TestLoadReportsAreBounded traffic/loadreport/exchange.go 'if !supportsChanges(to) {' 'if supportsChanges(to) {'
mutant never-in-turn traffic/loadreport TestMissedReportsAreRecoveredByRefresh traffic/loadreport/changes.go 'key%refreshReports == s.round%refreshReports &&' 'key%refreshReports == s.round%refreshReports && s.round == 0 &&'
exit $missed
