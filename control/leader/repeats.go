package leader

import (
	"encoding/json"
	"slices"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// A call may reach its leader, or a later leader, more than once: it is retried if
// it gets no answer, and an attempt may be delayed in the network. Plans are ordered
// by their base, lists by their version, claims by their request. Calls that have no
// such sequence (starting and ending an evacuation, replica changes, lists without a
// version) are protected against delayed attempts in two ways.
//   - An attempt is executed only on the basis that the leader returned to the same call
//     while its caller was waiting. The basis changes with the records of the call and
//     with each call that is executed here, even if that call changed nothing. So an
//     attempt that was delayed until another call was acknowledged does nothing.
//   - All attempts of a call have the same number. The partition keeps the most recent
//     calls, with their responses, in a record that is written together with the
//     changes that the calls make. An attempt of such a call gets its response again.
//
// A call whose caller waits is always executed. An operator's order that is sent again
// because its answer was lost can't be distinguished from the same order given anew, and
// both have to be acknowledged and done.

const (
	pastCallsKey  = "calls/done"
	keptPastCalls = 64 // the most recent calls
)

// pastCall is a call that was executed or finally refused, with its response.
type pastCall struct {
	Call     string              `json:"call"` // callRequest.id
	Response leadercall.Response `json:"word"`
}

// readPastCalls reads the record of past calls; an absent record means none.
func readPastCalls(r message.Record) (list []pastCall, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = json.Unmarshal(r.Value, &list)
	}
	return list, err
}

// basisOf returns the basis of a call's records: their latest version. It is never zero, even if all are absent.
func basisOf(read lease.RecordSource, keys []string) message.Version {
	var latest message.Version
	for _, key := range keys {
		if version := read(key).Version; latest.Less(version) {
			latest = version
		}
	}
	return message.Version{Term: latest.Term, Seq: latest.Seq + 1}
}

// basisMismatch is the result of an attempt whose basis isn't the current one.
type basisMismatch struct{ basis message.Version }

// deduplicate wraps a job so that its call is executed only once, as described at the top of this file.
func (r callRequest) deduplicate(job partition.Job) partition.Job {
	if r.id == "" {
		return job
	}
	keys := append([]string{pastCallsKey}, job.Keys...)
	build := func(read lease.RecordSource) ([]message.Record, any) { return r.buildDeduplicated(keys, job, read) }
	return partition.Job{Keys: keys, Build: build}
}

// buildDeduplicated executes a call unless it was executed before or its basis doesn't match.
func (r callRequest) buildDeduplicated(
	keys []string, job partition.Job, read lease.RecordSource,
) ([]message.Record, any) {
	past, err := readPastCalls(read(pastCallsKey))
	if err != nil {
		return nil, unclearResponse(err)
	}
	if i := slices.IndexFunc(past, func(p pastCall) bool { return p.Call == r.id }); i >= 0 {
		return nil, past[i].Response
	}
	if basis := basisOf(read, keys); r.basis != (message.Version{}) && r.basis != basis {
		return nil, basisMismatch{basis}
	}
	records, result := job.Build(read)
	response := result.(leadercall.Response)
	if response.Result == leadercall.ResultUnclear {
		return nil, response // nothing was decided
	}
	past = append(past, pastCall{Call: r.id, Response: response})
	past = past[max(0, len(past)-keptPastCalls):]
	return append(records, message.Record{Key: pastCallsKey, Value: leadercall.MustMarshal(past)}), response
}
