#!/usr/bin/env bash
# Plants one fault at a time in a copy of the committed sources and checks that a scene
# reports the broken rule. Usage: proof/standin/mutants/mutants.sh [-places] [NAME...]
# With -places it only checks that the text that each fault replaces occurs exactly once.
set -uo pipefail
cd "$(dirname "$0")/../../.."
# shellcheck source=proof/standin/mutants/plant.sh
. proof/standin/mutants/plant.sh

# mutant NAME SCENE RATE RULE FILE OLD NEW [FILE OLD NEW ...]: plays the scene with a build
# with the fault and expects it to report RULE.
mutant() {
	local name=$1 scene=$2 rate=$3 rule=$4 out="${work:-}/$1/out.txt"
	shift 4
	wanted "$name" || return 0
	if [ -n "$places" ]; then
		places "$name" "$@"
		return 0
	fi
	plant "$name" "$@" || return 0
	"$work/$name/bin/fleetlab" -platform -scenario "$scene" -pace 0.6 -rate "$rate" -seed 7 -dir "$work/$name/run" >"$out" 2>&1
	if grep -q "^BROKEN $rule" "$out"; then
		echo "$name: $(grep -m1 "^BROKEN $rule" "$out" | cut -c8-160)"
	else
		echo "$name: $rule NOT REPORTED: $(grep -m2 'BROKEN\|tries\|fleetlab' "$out" | tr '\n' ' ' | cut -c1-300)"
		missed=1
	fi
}

lane=traffic/forward/dispatcher.go engine=platform/engine.go gate=traffic/gateway/gateway.go
mutant drain release 120 DRAIN $lane 's.Leaving || evacuatedZones[s.Zone]' 'evacuatedZones[s.Zone]' $lane '|| r.Status != placement.Up && r.Status != placement.Warming' ''
mutant evacuation evacuate 80 EVAC $lane 's.Leaving || evacuatedZones[s.Zone]' 's.Leaving || evacuatedZones[""]' $lane '|| r.Status != placement.Up && r.Status != placement.Warming' ''
mutant stray-answer garble 120 MIXED platform/exchange.go 'return id == "" && len(got) == 0 || len(got) == 1 && got[0] == id' 'return id != "never" || len(got) == 0'
mutant no-seal garble 80 MIXED $engine 'if why := unfitReason(r); why != "" {' 'if why := unfitReason(r); why == "never" {'
mutant run-twice garble 120 TWICE $gate 'Repeatable: r.Kind == "safe" ||' 'Repeatable: true ||'
mutant false-promise garble 80 REFUSED traffic/gateway/execute.go 'w.Fail(http.StatusBadGateway, decision.Reason)' 'w.Refuse(503, 1e8, decision.Reason)'
mutant old-plan config 80 CONFIG traffic/gateway/plan.go 'last.generation == generation && g.daemon.Now() < last.validUntil {' 'g.daemon.Now() < last.validUntil+60e9 {'
mutant no-bound lapse 200 BUDGET traffic/attempt/bucket.go 'return float64(retries+1) <= b.Ratio*float64(firstSends)+float64(b.Slack)' 'return true'
mutant from-the-start garble 120 ORDER $engine 'if last != "" {' 'if last == "never" {' traffic/gateway/execute.go 'resumed && first && !isLaterEvent' 'resumed && first && delivered.clientGone && !isLaterEvent'
mutant ends-as-whole garble 120 ORDER platform/front.go 'if c.broken && (r.ProtoAtLeast(1, 1) || !reset(c.controller)) {' 'if c.broken && c.controller == nil {'
mutant cut-at-sigterm roll 200 LOST platform/start.go 'h.daemon.Leave()
	select {' 'if h.daemon.Leave(); h.settings.Zone != "" {
		return
	}
	select {'
mutant any-server crash 150 ROUTE $engine 'h.Set(hdrExpectServer, decision.Server.Key)' 'h.Del(hdrExpectServer)'
mutant no-query calm 40 UNASKED $engine 'target := req.URL.Opaque' 'target, _, _ := strings.Cut(req.URL.Opaque, "?")'
mutant no-route calm 80 DENIED traffic/gateway/admit.go 'if !ok {
		a.status, a.reason = http.StatusNotFound, reasonNoRoute' 'if !ok || requestHash(req.ID)%20 == 0 {
		a.status, a.reason = http.StatusNotFound, reasonNoRoute'
mutant cold-as-warm release 200 FAILBACK traffic/forward/filter.go '|| s.Warming && !d.acceptsWarmup(now, s.Key)' '' traffic/forward/score.go 'if o.Warming {' 'if o.Warming && o.wait < 0 {'
mutant hasty-holder pressed 60 ONE control/daemon/timing.go 'SwapBound:              b.Swap,' 'SwapBound:              0,'
mutant another-number config 40 CONFIG platform/write.go 'max(p.Version, p.Number)' 'max(p.Version, p.Number)+1'
mutant invalid-taken race 40 CONFIG control/fleetconfig/route.go 'r.GiveUpMillis < 1' 'r.GiveUpMillis < 0' control/fleetconfig/route.go 'v.Field(&r.GiveUpMillis, v.Required, v.Min(1))' 'v.Field(&r.GiveUpMillis, v.Min(0))'
mutant short-memory repeats 40 CONFIG control/fleetconfig/accepted.go 'pageCount   = 256' 'pageCount   = 1'
exit $missed
