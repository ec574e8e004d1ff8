#!/usr/bin/env bash
# Plants one fault at a time in a copy of the committed sources and checks that the soak
# sees the violated invariant. Usage:
# proof/standin/mutants/invariants.sh [-places] [NAME...]
# With -places it only checks that the text that each fault replaces occurs exactly once.
set -uo pipefail
cd "$(dirname "$0")/../../.."
# shellcheck source=proof/standin/mutants/plant.sh
. proof/standin/mutants/plant.sh

# seen NAME CHECK TROUBLES FILE OLD NEW [FILE OLD NEW ...]: soaks a build with the fault
# under the named troubles and expects the invariant CHECK to be violated.
seen() {
	local name=$1 check=$2 troubles=$3
	shift 3
	wanted "$name" || return 0
	if [ -n "$places" ]; then
		places "$name" "$@"
		return 0
	fi
	plant "$name" "$@" || return 0
	"$work/$name/bin/fleetlab" soak -seeds 1 -from 7 -for 12s -between 300ms -only "$troubles" -rate 60 -dir "$work/$name/run" >"$work/$name/out.txt" 2>&1
	if grep -q "check=\"$check\"" "$work/$name/out.txt"; then
		echo "$name: $(grep -m1 "check=\"$check\"" "$work/$name/out.txt" | cut -c1-160)"
	else
		echo "$name: $check NOT VIOLATED: $(grep -m3 'FAILED\|BROKEN\|seed' "$work/$name/out.txt" | tr '\n' ' ' | cut -c1-300)"
		missed=1
	fi
}

trip=traffic/forward/request.go
seen lost-call lane_accounts clients $trip 'st.inFlight--' 'st.inFlight -= len(r.Service) - len(r.Service)'
seen id-taken-twice lane_accounts clients $trip 'if d.pending[req.ID] != nil {' 'if d.pending[req.ID] != nil && req.ID == "" {'
seen no-bound retries_over_allowance servers traffic/attempt/bucket.go 'return float64(retries+1) <= b.Ratio*float64(firstSends)+float64(b.Slack)' 'return true' platform/settings.go 'Slack: int(t.RetrySlack)' 'Slack: 0'
seen sent-again unsafe_run_twice servers $trip 'last.State == attempt.Lost && last.Phase == attempt.Decode && !r.Repeatable' 'last.State == attempt.Lost && last.Phase == attempt.Decode && r.ID == ""'
seen false-promise refused_after_run servers $trip 'return d.finish(r, Unknown, last.Why)' 'return d.finish(r, Refuse, last.Why)'
seen spliced stream_spliced servers $trip 'last.State == attempt.Streaming && !(r.Resumable && r.Repeatable)' 'last.State == attempt.Streaming && r.ID == ""'
seen stray-answer answer_not_of_request servers platform/exchange.go 'case namesRequest(res.Header, id):' 'case namesRequest(res.Header, id) || id != "":'
seen no-seal success_without_seal servers platform/engine.go 'if why := unfitReason(r); why != "" {' 'if why := unfitReason(r); why == "never" {'
seen long-lease lease_outlasts_granter kill control/lease/downstream.go 'return max(0, min(n.cfg.VolumeLease, n.VolumeExpiry()-now))' 'return n.cfg.VolumeLease'
exit "$missed"
