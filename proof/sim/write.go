package sim

import (
	"encoding/json"
	"fmt"

	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// write appends a tag through a random daemon that considers itself the leader.
func (w *world) write() {
	if !w.faultsEnded {
		w.schedule(w.exp(w.options.WritePeriod), w.write)
	}
	p, k := w.rng.Intn(w.options.Partitions+1), key(w.rng.Intn(w.options.Keys))
	var own []*node
	for _, n := range w.nodes {
		if n.up && n.frozenUntil <= w.now && n.controllers[p].IsLeader(n.local()) {
			own = append(own, n)
		}
	}
	if len(own) > 0 {
		w.appendTag(own[w.rng.Intn(len(own))], p, k)
	}
}

// appendTag submits a write that appends a new tag to a key, and records its outcome.
func (w *world) appendTag(n *node, p int, k string) {
	w.tags++
	tag, at := fmt.Sprintf("w%d", w.tags), w.now
	name := fmt.Sprintf("%d/%s", p, k)
	w.recordEvent(Event{Kind: WriteRequested, Node: n.name, Partition: p, Key: name, Tag: tag})
	then := func(r partition.Result) {
		e := Event{Node: n.name, Partition: p, Key: name, Tag: tag}
		switch r.Outcome {
		case partition.Done:
			e.Kind = WriteAcknowledged
			w.result.Yes++
			w.ackedWrites = append(w.ackedWrites, ackedWrite{w.now, p, k, tag})
			w.result.Waits = append(w.result.Waits, w.now-at)
			if !w.faultsEnded && w.rng.Float64() < w.options.Faults["ackkill"]/40 {
				w.injectFault("ackkill", n)
			}
		case partition.NotLeader, partition.Unchanged:
			e.Kind = WriteRejected
			w.result.Never++
		default:
			e.Kind = WriteUncertain
			w.result.Maybe++
		}
		w.recordEvent(e)
	}
	build := func(read lease.RecordSource) ([]message.Record, any) {
		val, _ := json.Marshal(append(tags(read(k)), tag))
		return []message.Record{{Key: k, Value: val}}, nil
	}
	job := partition.Job{Keys: []string{k}, Mergeable: true, Build: build}
	n.apply(p, n.controllers[p].Submit(n.local(), job, then))
}
