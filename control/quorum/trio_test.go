package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// member is one replica of a trio with its disk.
type member struct {
	s       *Replica
	cut     bool
	stuck   bool   // the disk takes nothing
	queue   []Save // what waits for it
	meta    Meta   // what is on it
	records *digest.Records
}

// trio is a group of three: messages arrive at once, in order.
type trio struct {
	t    *testing.T
	now  time.Duration
	by   map[string]*member
	wait []message.Envelope
	done []WriteResult
	tag  uint64

	epochs bool // each replica has an incarnation of its own
}

func newTrio(t *testing.T) *trio {
	w := &trio{t: t, by: map[string]*member{}}
	for _, replica := range three.Replicas {
		m := &member{meta: Meta{Group: three}, records: digest.NewRecords()}
		w.by[replica.Ident] = m
		w.start(replica.Ident)
	}
	return w
}

// start starts a replica from what its disk holds.
func (w *trio) start(id string) {
	m := w.by[id]
	records := digest.NewRecords()
	for r := range m.records.All() {
		records.Put(r)
	}
	m.queue = nil
	i := slices.IndexFunc(three.Replicas, func(s message.Replica) bool { return s.Ident == id })
	m.s = New(cfg, 1, three.Replicas[i], nil, m.meta, records, w.now, false)
}

func (w *trio) carry(id string, o Out) {
	m := w.by[id]
	w.done = append(w.done, o.Results...)
	for _, s := range o.Sends {
		s.Message.From, s.Message.Addr, s.Message.Epoch, s.Message.Partition = id, id, 1, 1
		if w.epochs {
			s.Message.Epoch = m.s.folder.epoch
		}
		w.wait = append(w.wait, s)
	}
	m.queue = append(m.queue, o.Saves...)
	w.flush(id)
}

// flush puts on the disk what waits for it.
func (w *trio) flush(id string) {
	m := w.by[id]
	for !m.stuck && len(m.queue) > 0 {
		v := m.queue[0]
		m.queue = m.queue[1:]
		m.meta = v.Meta
		for _, sp := range v.WipeRanges {
			for r := range m.records.InRange(sp) {
				m.records.Delete(r.Key)
			}
		}
		for _, k := range v.Delete {
			m.records.Delete(k)
		}
		for _, r := range v.Records {
			m.records.Put(r)
		}
		w.carry(id, m.s.Saved(v.Ticket))
	}
}

// settle hands over all messages that are under way.
func (w *trio) settle() {
	for len(w.wait) > 0 {
		m := w.wait[0]
		w.wait = w.wait[1:]
		from, to := w.by[m.Message.From], w.by[m.Message.To]
		if to == nil || from != to && (from.cut || to.cut) {
			continue
		}
		w.carry(m.Message.To, to.s.Step(w.now, m.Message))
	}
}

// pass lets time pass, with a write at the leader at each step if so wished;
// a write's messages are under way until the next step.
func (w *trio) pass(d time.Duration, writing bool) {
	for end := w.now + d; w.now < end; w.now += 25 * time.Millisecond {
		w.settle()
		for _, id := range []string{"a", "b", "x"} {
			w.carry(id, w.by[id].s.Tick(w.now))
		}
		if id := w.leader(); writing && id != "" {
			w.write(id)
		}
	}
}

func (w *trio) write(id string) uint64 {
	w.tag++
	o, _ := w.by[id].s.Write(w.now, w.tag, []message.Record{{Key: fmt.Sprint("k", w.tag%400), Value: []byte(fmt.Sprint(w.tag))}})
	w.carry(id, o)
	return w.tag
}

func (w *trio) leader() string {
	for id, m := range w.by {
		if m.s.Leader(w.now) {
			return id
		}
	}
	return ""
}

// other is a replica that isn't the leader.
func (w *trio) other() string {
	for _, id := range []string{"a", "b", "x"} {
		if id != w.leader() {
			return id
		}
	}
	return ""
}

// A replica that was cut off while hundreds of changes were written is whole again
// within a lease and a half of its return, also while writes go on without a
// pause, and the leader counts it as whole only then.
func TestAReturningReplicaIsWholeBesideWrites(t *testing.T) {
	w := newTrio(t)
	w.pass(3*time.Second, false)
	own, late := w.leader(), w.other()
	w.by[late].cut = true
	w.pass(15*time.Second, true) // 600 changes
	if w.leader() != own {
		t.Fatalf("the leader was %q, is %q", own, w.leader())
	}
	w.by[late].cut = false
	w.pass(3*cfg.LeaderLease/2, true)
	w.settle()
	if d := digest.DifferingRanges(w.by[own].s.Records().Digests(), w.by[late].s.Records().Digests()); len(d) > 0 {
		t.Errorf("%d of %d ranges differ", len(d), digest.Ranges)
	}
}

// rot has a replica restart from a disk that lost a record.
func (w *trio) rot(id, key string) {
	m := w.by[id]
	sum := m.meta.Sum(m.records)
	m.records.Delete(key)
	m.meta.Incomplete = m.meta.Incomplete || sum != m.meta.Sum(m.records)
	w.start(id)
}

// A majority of those who took a write may be one whose disk lost it since: it
// has no vote, and the next leader is found when the other is back.
func TestAReplicaWhoseDiskLostARecordHasNoVote(t *testing.T) {
	w := newTrio(t)
	w.pass(3*time.Second, false)
	own, late := w.leader(), w.other()
	third := "abx"
	for _, id := range []string{own, late} {
		third = strings.ReplaceAll(third, id, "")
	}
	w.by[late].cut = true // it misses the write
	tag := w.write(own)
	w.settle()
	if !slices.Contains(w.done, WriteResult{tag, Committed}) {
		t.Fatal("not written")
	}
	w.rot(third, fmt.Sprint("k", tag))
	w.by[own].cut, w.by[late].cut = true, false
	for i := 0; i < 400; i++ {
		if w.pass(25*time.Millisecond, false); w.by[late].s.Leader(w.now) || w.by[third].s.Leader(w.now) {
			_, ok := w.by[w.leader()].s.Records().Get(fmt.Sprint("k", tag))
			t.Fatalf("%s leads beside a replica that lost a record; the write is there: %v", w.leader(), ok)
		}
	}
	w.by[own].cut = false
	w.pass(4*time.Second, false)
	for id, m := range w.by {
		if _, ok := m.s.Records().Get(fmt.Sprint("k", tag)); !ok || m.s.Meta().Incomplete || m.meta.Incomplete {
			t.Errorf("%s: the write is there: %v, short: %v", id, ok, m.s.Meta().Incomplete)
		}
	}
	if w.leader() == "" {
		t.Error("no leader")
	}
}

// Such a replica is filled within two beats where there is a leader, which counts
// it for nothing before.
func TestAShortReplicaIsFilledAtOnce(t *testing.T) {
	w := newTrio(t)
	w.pass(3*time.Second, true)
	own, short := w.leader(), w.other()
	w.rot(short, "k1")
	if out := w.by[short].s.Step(w.now, message.Message{Kind: message.KindReplicate, Partition: 1, From: own, Addr: own, Term: w.by[own].s.Term(), RequestID: 1, Group: three}); len(out.Saves) > 0 || len(out.Sends) != 1 || out.Sends[0].Message.Kind != message.KindStateMismatch {
		t.Errorf("a short replica takes a write: %+v", out)
	}
	w.pass(2*cfg.HeartbeatInterval, false)
	w.settle()
	if m := w.by[short]; m.s.Meta().Incomplete || m.meta.Incomplete {
		t.Error("still short")
	}
	if d := digest.DifferingRanges(w.by[own].s.Records().Digests(), w.by[short].s.Records().Digests()); len(d) > 0 {
		t.Errorf("%d ranges differ", len(d))
	}
}

// A disk that stalls holds up neither renewals nor writes; its leader leaves the
// leadership to others by its own clock when that lasts, and stands for none before
// the disk has taken what waits for it.
func TestALeaderWhoseDiskStallsGivesUp(t *testing.T) {
	w := newTrio(t)
	w.pass(3*time.Second, false)
	own := w.leader()
	w.by[own].stuck = true
	w.done = nil
	from := w.now
	for w.pass(25*time.Millisecond, true); w.by[own].s.Leader(w.now) && w.now < from+10*time.Second; w.pass(25*time.Millisecond, true) {
	}
	if d := w.now - from; d < patience*cfg.LeaderLease || d > patience*cfg.LeaderLease+cfg.HeartbeatInterval {
		t.Errorf("gave up after %v", d)
	}
	if n := len(w.done); n < int(patience*cfg.LeaderLease/(30*time.Millisecond)) || w.done[n-2].Outcome != Committed {
		t.Errorf("%d writes settled meanwhile", n)
	}
	w.pass(3*time.Second, true)
	if next := w.leader(); next == own || next == "" {
		t.Fatalf("leader is %q", next)
	}
	w.by[own].stuck = false
	w.flush(own)
	w.pass(cfg.LeaderLease, true)
	w.settle()
	if d := digest.DifferingRanges(w.by[own].s.Records().Digests(), w.by[w.leader()].s.Records().Digests()); len(d) > 0 {
		t.Errorf("%d ranges differ", len(d))
	}
}

// A leader's own copy of a key that is dropped in the batch that brings it is
// on no disk either: what is read back is what was held.
func TestWhatADiskHoldsIsWhatItsReplicaHolds(t *testing.T) {
	w := newTrio(t)
	w.pass(3*time.Second, true)
	own := w.leader()
	put := func(recs ...message.Record) {
		o, _ := w.by[own].s.Write(w.now, 7, recs)
		w.carry(own, o)
		w.settle()
	}
	put(message.Record{Key: "once/old"})
	mark, _ := json.Marshal(w.by[own].s.LastWritten())
	put(message.Record{Key: "once/new"})
	put(message.Record{Key: FloorKey, Value: mark})
	w.by[w.other()].cut = true
	w.pass(3*time.Second, true)
	w.by[own].cut = true
	for _, m := range w.by {
		m.cut = m.cut && m != w.by[own]
	}
	w.pass(4*time.Second, true)
	for id, m := range w.by {
		if d := digest.DifferingRanges(m.s.Records().Digests(), m.records.Digests()); len(d) > 0 || m.s.Meta().Sum(m.s.Records()) != m.meta.Sum(m.records) {
			t.Errorf("%s: %d ranges of the disk differ", id, len(d))
		}
	}
}

// A copy that is cut short on its way is not taken for a whole one; the whole
// one is.
func TestACopyThatIsCutShortIsRefused(t *testing.T) {
	w := newTrio(t)
	w.pass(3*time.Second, true)
	own := w.by[w.leader()].s
	fresh := New(cfg, 1, three.Replicas[0], nil, Meta{Group: three}, digest.NewRecords(), w.now, false)
	var o Out
	own.sendFill(w.now, message.Replica{Ident: "new"}, fresh.Records().Digests(), &o)
	fill := o.Sends[0].Message
	fill.From, fill.Addr = w.leader(), w.leader()
	if fill.From == "a" {
		fresh.me = three.Replicas[1]
	}
	for cut := range fill.Records {
		short := fill
		short.Records = fill.Records[:cut]
		if out := fresh.Step(w.now, short); len(out.Saves) > 0 || fresh.Meta().LastComplete == fill.Term || len(out.Sends) != 1 || out.Sends[0].Message.Kind != message.KindStateMismatch {
			t.Fatalf("%d of %d records taken for all: %+v", cut, len(fill.Records), out)
		}
	}
	if out := fresh.Step(w.now, fill); len(out.Saves) != 1 || fresh.Meta().LastComplete != fill.Term || fresh.Records().Sum() != own.Records().Sum() {
		t.Errorf("the whole copy isn't taken: %+v", out)
	}
}

// Marks of records that are gone last until the next term: then no copy has them,
// and a replica that still holds the records brings none back.
func TestMarksOfWhatIsGoneEndWithTheTerm(t *testing.T) {
	w := newTrio(t)
	w.pass(3*time.Second, false)
	own, late := w.leader(), w.other()
	put := func(i int, dead bool) {
		o, _ := w.by[own].s.Write(w.now, uint64(1000+i), []message.Record{{Key: fmt.Sprint("berth/", i), Deleted: dead}})
		w.carry(own, o)
		w.settle()
	}
	for i := range 300 {
		put(i, false)
	}
	put(300, false)
	w.by[late].cut = true
	for i := range 300 {
		put(i, true)
	}
	if n := w.by[own].s.Records().Size(); n != 301 {
		t.Fatalf("%d records", n)
	}
	w.by[late].cut, w.by[own].cut = false, true // it has the records still, and the marks are with one
	w.pass(3*time.Second, false)
	if w.leader() == own || w.leader() == "" {
		t.Fatalf("the leader is %q", w.leader())
	}
	w.by[own].cut = false
	w.pass(3*time.Second, false)
	for id, m := range w.by {
		if m.s.Records().Size() != 1 || m.records.Size() != 1 {
			t.Errorf("%s holds %d records, its disk %d", id, m.s.Records().Size(), m.records.Size())
		}
	}
}
