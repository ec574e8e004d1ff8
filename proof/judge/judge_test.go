package judge

import (
	"testing"

	"mulleinmast/proof/journal"
)

const sec = int64(1e9)

// A clean history, and for each rule the one change that breaks it.
func clean() []journal.Event {
	ev := []journal.Event{
		{At: 0, Who: "m", Ev: "boot", N: 8, Cell: "a"},
		{At: 1, Who: "m", Ev: "order", Holder: "x", Term: 1},
		{At: 4 * sec, Who: "m", Ev: "order", Holder: "y", Term: 2},
		{At: 5 * sec, Who: "m", Ev: "leaving"},
		{At: 7 * sec, Who: "m", Ev: "decode", Request: "r1", Owner: "r1", Run: "r1-1", Once: "k1", N: 1},
		{At: 8 * sec, Who: "c", Ev: "reply", Request: "r2", Result: "shed"},
		{At: 9 * sec, Who: "t", Ev: "evacuated", Cell: "a"},
	}
	for i := 0; i < 120; i++ {
		id := string(rune('A'+i%26)) + string(rune('a'+i/26))
		ev = append(ev, journal.Event{At: sec + int64(i), Who: "n", Ev: "prefill", Request: id, N: 1})
	}
	return ev
}

func TestEachRuleIsCaught(t *testing.T) {
	if rows := All(clean(), Default()); len(rows) > 0 {
		t.Fatalf("clean history: %v", rows)
	}
	plant := map[string][]journal.Event{
		"once":      {{At: 7*sec + 1, Who: "q", Ev: "decode", Request: "r9", Owner: "r9", Run: "r9-1", Once: "k1"}},
		"refused":   {{At: 9 * sec, Who: "q", Ev: "decode", Request: "r2", Owner: "r2"}},
		"foreign":   {{At: 7 * sec, Who: "q", Ev: "decode", Request: "r3", Owner: "r4"}},
		"stream":    {{At: 7 * sec, Who: "c", Ev: "reply", Result: "wrong", Why: "piece 3 where 2 was due"}},
		"holders":   {{At: 6 * sec, Who: "m", Ev: "order", Holder: "z", Term: 3}},
		"leaving":   {{At: 8*sec + 2, Who: "m", Ev: "prefill", Request: "r5"}},
		"evacuated": {{At: 0, Who: "o", Ev: "boot", N: 8, Cell: "a"}, {At: 14*sec + 1, Who: "o", Ev: "prefill", Request: "r6"}},
		"flood":     {{At: 2, Who: "m", Ev: "prefill", Request: "r7", N: 5}},
	}
	var many []journal.Event
	for i := 0; i < 30; i++ {
		many = append(many, journal.Event{At: 2 * sec, Who: "n", Ev: "prefill", Request: "Aa", N: 1})
	}
	plant["retries"] = many
	for rule, add := range plant {
		rows := All(append(clean(), add...), Default())
		if len(rows) == 0 {
			t.Errorf("%s: planted fault not caught", rule)
		}
		for _, b := range rows {
			if b.Rule != rule {
				t.Errorf("%s: also caught %v", rule, b)
			}
		}
	}
}
