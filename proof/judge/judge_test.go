package judge

import (
	"fmt"
	"strings"
	"testing"

	"mulleinmast/proof/history"
)

const second = int64(1e9)

// validHistory returns a history that violates no rule.
func validHistory() []history.Event {
	ev := []history.Event{
		{At: 0, Who: "m", Ev: "boot", N: 8, Zone: "a", Warm: 4 * second},
		{At: 1, Who: "m", Ev: "order", Holder: "x", Term: 1},
		{At: 4 * second, Who: "m", Ev: "order", Holder: "y", Term: 2},
		{At: 5 * second, Who: "m", Ev: "leaving"},
		{At: 7 * second, Who: "m", Ev: "decode", Request: "r1", CacheOf: "r1", Run: "r1-1", Once: "k1", N: 1},
		{At: 7 * second, Who: "m", Ev: "ended", Request: "r1", Run: "r1-1", Count: 3},
		{At: 7 * second, Who: "c", Ev: "reply", Request: "r1", Run: "r1-1", Result: "ok", Count: 3, Zone: "a"},
		{At: 8 * second, Who: "c", Ev: "reply", Request: "r2", Result: "shed", After: 1000, Zone: "a"},
		{At: 9 * second, Who: "t", Ev: "evacuated", Zone: "a"},
		{At: 2 * second, Who: "o", Ev: "plan", Plan: "p1", Base: 0, Ver: 1, Result: "taken", Took: 1},
		{At: 2 * second, Who: "o", Ev: "plan", Plan: "p2", Base: 0, Ver: 1, Result: "beaten", Took: 1},
		{At: 3 * second, Who: "d", Ev: "serves", Plan: "p1", Ver: 1},
		{At: 3 * second, Who: "o", Ev: "plan", Plan: "p3", Base: 1, Ver: 2, Result: "taken", Took: 1},
		{At: 4 * second, Who: "d", Ev: "serves", Plan: "p3", Ver: 2},
	}
	for i := 0; i < 120; i++ {
		ev = append(ev, history.Event{At: second + int64(i), Who: "n", Ev: "prefill", Request: fmt.Sprint("a", i), N: 1})
	}
	return ev
}

// plantedFaults returns, by rule, events that violate the rule when they are added
// to a valid history. A suffix after the rule's name distinguishes several faults.
func plantedFaults() map[string][]history.Event {
	faults := map[string][]history.Event{
		"once": {
			{At: 7*second + 1, Who: "q", Ev: "decode", Request: "r9", CacheOf: "r9", Run: "r9-1", Once: "k1"},
		},
		"refused": {{At: 9 * second, Who: "q", Ev: "decode", Request: "r2", CacheOf: "r2"}},
		"refused key": {
			{At: 9 * second, Who: "c", Ev: "reply", Request: "r12", Once: "k1", Result: "shed", After: 1, Took: second / 2},
		},
		"foreign":  {{At: 7 * second, Who: "q", Ev: "decode", Request: "r3", CacheOf: "r4"}},
		"stream":   {{At: 7 * second, Who: "c", Ev: "reply", Result: "wrong", Why: "piece 3 where 2 was due"}},
		"whole":    {{At: 7 * second, Who: "c", Ev: "reply", Request: "r8", Result: "ok", Run: "r8-1", Count: 2}},
		"final":    {{At: 9 * second, Who: "c", Ev: "reply", Request: "r2", Result: "broken"}},
		"answered": {{At: 9 * second, Who: "c", Ev: "reply", Request: "r11", Result: "hung", Took: 15 * second}},
		"told":     {{At: 9 * second, Who: "c", Ev: "reply", Request: "r7", Result: "uncertain"}},
		"holders":  {{At: 6 * second, Who: "m", Ev: "order", Holder: "z", Term: 3}},
		"leaving":  {{At: 8*second + 2, Who: "m", Ev: "prefill", Request: "r5"}},
		"evacuated": {
			{At: 0, Who: "o", Ev: "boot", N: 8, Zone: "a"},
			{At: 14*second + 1, Who: "o", Ev: "prefill", Request: "r6"},
		},
		"flood":        {{At: 2 * second, Who: "m", Ev: "prefill", Request: "r7", N: 5}},
		"plan-race":    {{At: 2 * second, Ev: "plan", Plan: "p9", Base: 1, Ver: 2, Result: "taken"}},
		"plan-refused": {{At: 5 * second, Who: "e", Ev: "plan", Plan: "p3", Base: 2, Ver: 3, Result: "broken"}},
		"plan-back":    {{At: 5 * second, Who: "d", Ev: "serves", Plan: "p1", Ver: 1}},
		"plan-late":    {{At: 6 * second, Who: "e", Ev: "serves", Plan: "p1", Ver: 1}},
		"linear": {
			{At: 6 * second, Ev: "plan", Plan: "p8", Base: 2, Ver: 3, Result: "taken", Took: 1},
			{At: 7 * second, Ev: "plan", Plan: "p8", Base: 2, Ver: 3, Result: "beaten", Took: 1},
		},
		"linear late": {{At: 6 * second, Ev: "plan", Plan: "p1", Base: 0, Ver: 3, Result: "taken", Took: 1}},
		"linear read": {{At: 6 * second, Ev: "read", Plan: "p1", Ver: 1}},
		"plan-old":    {{At: 5 * second, Who: "d", Ev: "readback", Plan: "p1", Ver: 1, Took: second}},
		"plan-old no": {
			{At: 5 * second, Who: "o", Ev: "plan", Plan: "p4", Base: 2, Ver: 1, Took: second, Result: "beaten"},
		},
		"recovery": {
			{At: 9 * second, Ev: "mended"},
			{At: 10 * second, Who: "c", Ev: "reply", Request: "r10", Result: "shed", After: 1, Zone: "a"},
			{At: 22 * second, Ev: "stop"},
		},
	}
	for i := 0; i < 30; i++ {
		again := history.Event{At: 2 * second, Who: "n", Ev: "prefill", Request: "a1", N: 1}
		faults["retries"] = append(faults["retries"], again)
	}
	return faults
}

func TestPlantedFaultsAreReported(t *testing.T) {
	if rows := All(validHistory(), Default()); len(rows) > 0 {
		t.Fatalf("violations in a valid history: %v", rows)
	}
	faults := plantedFaults()
	for _, r := range Rules {
		if faults[r.Name] == nil {
			t.Errorf("%s: no fault planted", r.Name)
		}
	}
	// A conflict that returns an old version is not linearizable either.
	alsoReported := map[string]string{"plan-old no": "linear"}
	for name, add := range faults {
		rows := All(append(validHistory(), add...), Default())
		caught := map[string]bool{}
		for _, b := range rows {
			caught[b.Rule] = true
			if b.Rule != strings.Fields(name)[0] && b.Rule != alsoReported[name] {
				t.Errorf("%s: unexpected violation %v", name, b)
			}
		}
		if !caught[strings.Fields(name)[0]] || alsoReported[name] != "" && !caught[alsoReported[name]] {
			t.Errorf("%s: planted fault not reported, only %v", name, rows)
		}
	}
}
