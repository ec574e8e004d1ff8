package quorum

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// walk is a group of three among five machines and more under every trouble at
// once: messages are lost, late, overtaken and doubled, daemons are killed
// with saves under way, disks are lost, and whoever leads replaces replicas at
// random, as fast as it may.
type walk struct {
	*testing.T
	seed     int64
	rng      *rand.Rand
	now      time.Duration
	up       map[string]*Replica
	epoch    map[string]uint64
	disks    map[string]*disk
	mail     []letter
	ids      int
	asked    map[uint64]string // writes under way, by tag
	tags     uint64
	acked    []string
	led      map[string]uint64        // the term that each daemon was last seen to lead with
	synced   map[string]time.Duration // when the last save of each is on disk
	steps    int
	wipeable bool
}

type disk struct {
	meta Meta
	recs map[string]message.Record
}

type letter struct {
	at   time.Duration
	send message.Envelope
	save *Save
	from string
	life uint64
}

func (w *walk) carry(id string, o Out) {
	for _, m := range o.Sends {
		m.Message.From, m.Message.Addr, m.Message.Epoch, m.Message.Partition = id, id, w.epoch[id], 1
		for range 1 + w.rng.Intn(20)/19 {
			late := time.Duration(w.rng.ExpFloat64() * float64(3*time.Millisecond))
			if w.rng.Intn(30) == 0 {
				late = time.Duration(w.rng.ExpFloat64() * float64(400*time.Millisecond))
			}
			if m.Message.To == id {
				late = 0
			}
			w.mail = append(w.mail, letter{at: w.now + late, send: m})
		}
	}
	for i := range o.Saves { // one after the other
		w.synced[id] = max(w.synced[id], w.now+time.Duration(w.rng.Intn(8))*time.Millisecond)
		w.mail = append(w.mail, letter{at: w.synced[id], save: &o.Saves[i], from: id, life: w.epoch[id]})
	}
	for _, d := range o.Results {
		if d.Outcome == Committed && d.Tag > 0 {
			w.acked = append(w.acked, w.asked[d.Tag])
		}
		delete(w.asked, d.Tag)
	}
}

func (w *walk) deliver() {
	for {
		i := slices.IndexFunc(w.mail, func(l letter) bool { return l.at <= w.now })
		if i < 0 {
			return
		}
		l := w.mail[i]
		w.mail = slices.Delete(w.mail, i, i+1)
		if l.save != nil {
			if w.up[l.from] != nil && w.epoch[l.from] == l.life {
				w.disks[l.from].sync(*l.save)
				w.carry(l.from, w.up[l.from].Saved(l.save.Ticket))
			}
			continue
		}
		n := l.send.Message
		if s := w.up[n.To]; s != nil && (n.To == n.From || w.rng.Intn(60) > 0) {
			w.carry(n.To, s.Step(w.now, n))
		}
	}
}

func (d *disk) sync(s Save) {
	d.meta = s.Meta
	for _, sp := range s.WipeRanges {
		maps.DeleteFunc(d.recs, func(k string, _ message.Record) bool { return digest.RangeOf(k) == sp })
	}
	for _, k := range s.Delete {
		delete(d.recs, k)
	}
	for _, r := range s.Records {
		d.recs[r.Key] = r
	}
}

func (w *walk) start(id string) {
	d := w.disks[id]
	if d == nil {
		d = &disk{recs: map[string]message.Record{}}
		w.disks[id] = d
	}
	w.epoch[id] = incarnation.Number(incarnation.Starts(w.epoch[id])+1, uint32(len(id)))
	records := digest.NewRecords()
	for _, r := range d.recs {
		records.Put(r)
	}
	w.up[id] = New(timed, 1, replicaOf(id), OpenFolder(w.epoch[id], d.meta), d.meta, records, w.now, d.meta.Group.Number == 0)
}

// newcomer starts an empty machine.
func (w *walk) newcomer() {
	w.ids++
	w.start(fmt.Sprintf("n%d", w.ids))
}

// check looks at whoever leads: no two at once, and each holds all that was
// acknowledged when it began.
func (w *walk) check() {
	var leaders []string
	for _, id := range slices.Sorted(maps.Keys(w.up)) {
		s := w.up[id]
		if !s.Leader(w.now) {
			continue
		}
		leaders = append(leaders, fmt.Sprintf("%s in term %d", id, s.Term()))
		if w.led[id] == s.Term() {
			continue
		}
		w.led[id] = s.Term()
		for _, k := range w.acked {
			if _, ok := s.Records().Get(k); !ok {
				w.Fatalf("seed %d at %v: %s leads in term %d without %s, group %+v", w.seed, w.now, id, s.Term(), k, s.Group())
			}
		}
	}
	if len(leaders) > 1 {
		w.Fatalf("seed %d at %v: two lead: %v", w.seed, w.now, leaders)
	}
}

// lead is what a leader's daemon does: it keeps standbys, goes on with a step,
// begins one at random, and writes.
func (w *walk) lead(id string, s *Replica) {
	var standbys []message.Replica
	for _, other := range slices.Sorted(maps.Keys(w.up)) {
		if w.rng.Intn(20) > 0 {
			standbys = append(standbys, replicaOf(other))
		}
	}
	w.carry(id, s.SetLearners(w.now, standbys))
	w.carry(id, s.ContinueChange(w.now, 0))
	if g := s.Group(); w.rng.Intn(8) == 0 && len(standbys) > 0 {
		out := g.Replicas[w.rng.Intn(len(g.Replicas))].Ident
		if o, ok := s.ReplaceReplica(w.now, 0, out, standbys[w.rng.Intn(len(standbys))]); ok {
			w.steps++
			w.carry(id, o)
		}
	}
	if w.rng.Intn(2) == 0 {
		w.tags++
		key := fmt.Sprintf("k%d", w.tags)
		w.asked[w.tags] = key
		o, _ := s.Write(w.now, w.tags, []message.Record{{Key: key}})
		w.carry(id, o)
	}
}

// spare tells whether the loss of a machine leaves a majority of all sets that
// some daemon goes by, of machines that have stood long enough to count.
func (w *walk) spare(id string) bool {
	for _, s := range w.up {
		g := s.Group()
		if g.Number > 0 && !g.HasQuorum(func(x string) bool { return x != id && w.up[x] != nil }) {
			return false
		}
	}
	return true
}

func (w *walk) trouble() {
	ids := slices.Sorted(maps.Keys(w.up))
	id := ids[w.rng.Intn(len(ids))]
	switch w.rng.Intn(4) {
	case 0, 1: // a restart, with saves lost that were under way
		delete(w.up, id)
		w.start(id)
	case 2:
		w.up[id].Resign()
	case 3:
		if w.wipeable && w.spare(id) && len(ids) > 4 { // it is gone for good
			w.wipeable = false
			delete(w.up, id)
			w.newcomer()
		}
	}
}

func TestWalksOfReplacement(t *testing.T) {
	steps, acked := 0, 0
	for seed := int64(1); seed <= int64(walks); seed++ {
		w := &walk{T: t, seed: seed, rng: rand.New(rand.NewSource(seed)), up: map[string]*Replica{}, epoch: map[string]uint64{}, disks: map[string]*disk{}, asked: map[uint64]string{}, led: map[string]uint64{}, synced: map[string]time.Duration{}}
		first := replicasOf("a", "b", "c")
		for _, s := range first {
			w.disks[s.Ident] = &disk{meta: Meta{Group: message.Group{Number: 1, Replicas: first}}, recs: map[string]message.Record{}}
			w.start(s.Ident)
		}
		w.newcomer()
		w.newcomer()
		for ; w.now < 25*time.Second; w.now += 5 * time.Millisecond {
			for _, id := range slices.Sorted(maps.Keys(w.up)) {
				s := w.up[id]
				w.carry(id, s.Tick(w.now))
				w.deliver()
				if s.Leader(w.now) && s.WritesFrom() <= w.now && w.rng.Intn(10) == 0 {
					w.lead(id, s)
				}
				w.deliver()
			}
			w.check()
			if w.rng.Intn(300) == 0 {
				w.trouble()
			}
			if w.rng.Intn(1600) == 0 {
				w.wipeable = true
			}
		}
		steps, acked = steps+w.steps, acked+len(w.acked)
	}
	t.Logf("%d walks: %d steps begun, %d writes acknowledged", walks, steps, acked)
	if steps < 3*walks || acked < 50*walks {
		t.Errorf("too little happened")
	}
}

// walks is how many random walks are made.
const walks = 12
