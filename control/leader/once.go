package leader

import (
	"encoding/json"
	"fmt"
	"slices"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// A call may reach its leader, or the next one, more than once: it is sent again
// when it got no word, and a try may be held up on its way. Plans are ordered by
// their base, lists by their version, claims by their request. What nothing
// orders is known by the daemon, its life and the number of the call there, and
// is carried out once: the partition keeps the last of them in a record that is
// written together with what they change.

const (
	callsKey  = "calls/done"
	keepCalls = 64 // calls that nothing orders come from operators, a few in a minute
)

// pastCall is a call that was settled, and what its caller was told.
type pastCall struct {
	Call string          `json:"call"`
	Word leadercall.Word `json:"word"`
}

// callOf names a call over all its tries; "" where its daemon's build doesn't.
func callOf(n message.Message) string {
	if n.Ref == 0 {
		return ""
	}
	return fmt.Sprintf("%s#%d/%d", n.From, n.Epoch, n.Ref)
}

func openCalls(r message.Rec) (list []pastCall) {
	if !r.Dead && len(r.Val) > 0 {
		if err := json.Unmarshal(r.Val, &list); err != nil {
			panic("calls record can't be read: " + err.Error()) // we wrote it ourselves
		}
	}
	return list
}

// onceOnly makes a job that gives every later try the first one's answer.
func onceOnly(call string, j partition.Job) partition.Job {
	if call == "" {
		return j
	}
	return partition.Job{Keys: append([]string{callsKey}, j.Keys...), Make: func(read lease.Source) ([]message.Rec, any) {
		past := openCalls(read(callsKey))
		if i := slices.IndexFunc(past, func(p pastCall) bool { return p.Call == call }); i >= 0 {
			return nil, past[i].Word
		}
		recs, word := j.Make(read)
		past = append(past, pastCall{Call: call, Word: word.(leadercall.Word)})
		past = past[max(0, len(past)-keepCalls):]
		return append(recs, message.Rec{Key: callsKey, Val: leadercall.Pack(past)}), word
	}}
}
