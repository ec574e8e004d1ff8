package sim

import (
	"encoding/json"
	"fmt"

	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// write asks some daemon that takes itself for the leader to append a tag.
func (w *world) write() {
	if !w.calm {
		w.at(w.exp(w.options.Writes), w.write)
	}
	p, k := w.rng.Intn(w.options.Partitions+1), key(w.rng.Intn(w.options.Keys))
	var own []*node
	for _, n := range w.nodes {
		if n.up && n.frozenUntil <= w.now && n.controllers[p].IsLeader(n.local()) {
			own = append(own, n)
		}
	}
	if len(own) > 0 {
		w.ask(own[w.rng.Intn(len(own))], p, k)
	}
}

func (w *world) ask(n *node, p int, k string) {
	w.tags++
	tag, at := fmt.Sprintf("w%d", w.tags), w.now
	name := fmt.Sprintf("%d/%s", p, k)
	w.note(Event{Kind: Asked, Node: n.name, Partition: p, Key: name, Tag: tag})
	then := func(r partition.Result) {
		e := Event{Node: n.name, Partition: p, Key: name, Tag: tag}
		switch r.Outcome {
		case partition.Done:
			e.Kind = Yes
			w.result.Yes++
			w.acks = append(w.acks, acked{w.now, p, k, tag})
			w.result.Waits = append(w.result.Waits, w.now-at)
			if !w.calm && w.rng.Float64() < w.options.Faults["ackkill"]/40 {
				w.fault("ackkill", n)
			}
		case partition.NotLeader, partition.Unchanged:
			e.Kind = Never
			w.result.Never++
		default:
			e.Kind = Maybe
			w.result.Maybe++
		}
		w.note(e)
	}
	build := func(read lease.RecordSource) ([]message.Record, any) {
		val, _ := json.Marshal(append(tags(read(k)), tag))
		return []message.Record{{Key: k, Value: val}}, nil
	}
	job := partition.Job{Keys: []string{k}, Mergeable: true, Build: build}
	n.carry(p, n.controllers[p].Submit(n.local(), job, then))
}
