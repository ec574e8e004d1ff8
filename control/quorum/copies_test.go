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

// trioMember is one replica of a trio with its disk.
type trioMember struct {
	replica     *Replica
	isCutOff    bool
	isDiskStuck bool   // the disk takes nothing
	waiting     []Save // what waits for it
	meta        Meta   // what is on it
	records     *digest.Records
}

// trio is a group of three: messages arrive at once, in order.
type trio struct {
	t        *testing.T
	now      time.Duration
	members  map[string]*trioMember
	inFlight []message.Envelope
	results  []WriteResult
	lastTag  uint64

	hasEpochs bool // each replica has an incarnation of its own
}

func newTrio(t *testing.T) *trio {
	w := &trio{t: t, members: map[string]*trioMember{}}
	for _, replica := range threeReplicas.Replicas {
		m := &trioMember{meta: Meta{Group: threeReplicas}, records: digest.NewRecords()}
		w.members[replica.Ident] = m
		w.start(replica.Ident)
	}
	return w
}

// start starts a replica from what its disk holds.
func (w *trio) start(id string) {
	m := w.members[id]
	records := digest.NewRecords()
	for r := range m.records.All() {
		records.Put(r)
	}
	m.waiting = nil
	i := slices.IndexFunc(threeReplicas.Replicas, func(s message.Replica) bool { return s.Ident == id })
	m.replica = New(cfg, InitialState{
		Partition: 1, Self: threeReplicas.Replicas[i], Meta: m.meta, Records: records,
	}, w.now)
}

func (w *trio) apply(id string, o Out) {
	m := w.members[id]
	w.results = append(w.results, o.Results...)
	for _, s := range o.Sends {
		s.Message.From, s.Message.Addr, s.Message.Epoch, s.Message.Partition = id, id, 1, 1
		if w.hasEpochs {
			s.Message.Epoch = m.replica.guard.folder.epoch
		}
		w.inFlight = append(w.inFlight, s)
	}
	m.waiting = append(m.waiting, o.Saves...)
	w.flush(id)
}

// flush puts on the disk what waits for it.
func (w *trio) flush(id string) {
	m := w.members[id]
	for !m.isDiskStuck && len(m.waiting) > 0 {
		v := m.waiting[0]
		m.waiting = m.waiting[1:]
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
		w.apply(id, m.replica.Saved(v.Ticket))
	}
}

// deliver hands over all messages that are under way.
func (w *trio) deliver() {
	for len(w.inFlight) > 0 {
		m := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		from, to := w.members[m.Message.From], w.members[m.Message.To]
		if to == nil || from != to && (from.isCutOff || to.isCutOff) {
			continue
		}
		w.apply(m.Message.To, to.replica.Step(w.now, m.Message))
	}
}

// advance lets time pass, with a write at the leader at each tick if so wished; a
// write's messages are under way until the next tick.
func (w *trio) advance(d time.Duration, writing bool) {
	for end := w.now + d; w.now < end; w.now += 25 * time.Millisecond {
		w.deliver()
		for _, id := range []string{"a", "b", "x"} {
			w.apply(id, w.members[id].replica.Tick(w.now))
		}
		if id := w.leader(); writing && id != "" {
			w.write(id)
		}
	}
}

func (w *trio) write(id string) uint64 {
	w.lastTag++
	record := message.Record{Key: fmt.Sprint("k", w.lastTag%400), Value: []byte(fmt.Sprint(w.lastTag))}
	o, _ := w.members[id].replica.Write(w.now, w.lastTag, []message.Record{record})
	w.apply(id, o)
	return w.lastTag
}

func (w *trio) leader() string {
	for id, m := range w.members {
		if m.replica.IsLeader(w.now) {
			return id
		}
	}
	return ""
}

// isMismatch tells whether a step saves nothing and answers only that the state isn't
// the one that it builds on.
func isMismatch(out Out) bool {
	return len(out.Saves) == 0 && len(out.Sends) == 1 && out.Sends[0].Message.Kind == message.KindStateMismatch
}

// countDifferingRanges is the number of ranges in which two replicas' records differ.
func (w *trio) countDifferingRanges(a, b string) int {
	return countDifferingRanges(w.members[a].replica.Records(), w.members[b].replica.Records())
}

// anyFollower is a replica that isn't the leader.
func (w *trio) anyFollower() string {
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
func TestReturningReplicaCatchesUpDuringWrites(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, false)
	own, late := w.leader(), w.anyFollower()
	w.members[late].isCutOff = true
	w.advance(15*time.Second, true) // 600 changes
	if w.leader() != own {
		t.Fatalf("the leader was %q, is %q", own, w.leader())
	}
	w.members[late].isCutOff = false
	w.advance(3*cfg.LeaderLease/2, true)
	w.deliver()
	if d := w.countDifferingRanges(own, late); d > 0 {
		t.Errorf("%d of %d ranges differ", d, digest.Ranges)
	}
}

// restartWithout has a replica restart from a disk that lost a record.
func (w *trio) restartWithout(id, key string) {
	m := w.members[id]
	sum := m.meta.Sum(m.records)
	m.records.Delete(key)
	m.meta.Incomplete = m.meta.Incomplete || sum != m.meta.Sum(m.records)
	w.start(id)
}

// A majority of those who took a write may be one whose disk lost it since: it
// has no vote, and the next leader is found when the other is back.
func TestIncompleteReplicaDoesNotVote(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, false)
	own, late := w.leader(), w.anyFollower()
	third := "abx"
	for _, id := range []string{own, late} {
		third = strings.ReplaceAll(third, id, "")
	}
	w.members[late].isCutOff = true // it misses the write
	tag := w.write(own)
	w.deliver()
	if !slices.Contains(w.results, WriteResult{tag, Committed}) {
		t.Fatal("not written")
	}
	w.restartWithout(third, fmt.Sprint("k", tag))
	w.members[own].isCutOff, w.members[late].isCutOff = true, false
	for i := 0; i < 400; i++ {
		w.advance(25*time.Millisecond, false)
		if w.members[late].replica.IsLeader(w.now) || w.members[third].replica.IsLeader(w.now) {
			_, ok := w.members[w.leader()].replica.Records().Get(fmt.Sprint("k", tag))
			t.Fatalf("%s leads beside a replica that lost a record; the write is there: %v", w.leader(), ok)
		}
	}
	w.members[own].isCutOff = false
	w.advance(4*time.Second, false)
	for id, m := range w.members {
		if _, ok := m.replica.Records().Get(fmt.Sprint("k", tag)); !ok || m.replica.Meta().Incomplete || m.meta.Incomplete {
			t.Errorf("%s: the write is there: %v, incomplete: %v", id, ok, m.replica.Meta().Incomplete)
		}
	}
	if w.leader() == "" {
		t.Error("no leader")
	}
}

// Such a replica is installed within two heartbeats where there is a leader, which counts
// it for nothing before.
func TestIncompleteReplicaIsReinstalled(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, true)
	own, short := w.leader(), w.anyFollower()
	w.restartWithout(short, "k1")
	write := message.Replicate{Term: w.members[own].replica.Term(), RequestID: 1, Group: threeReplicas}.Message(1)
	write.From, write.Addr = own, own
	if out := w.members[short].replica.Step(w.now, write); !isMismatch(out) {
		t.Errorf("an incomplete replica takes a write: %+v", out)
	}
	w.advance(2*cfg.HeartbeatInterval, false)
	w.deliver()
	if m := w.members[short]; m.replica.Meta().Incomplete || m.meta.Incomplete {
		t.Error("still incomplete")
	}
	if d := w.countDifferingRanges(own, short); d > 0 {
		t.Errorf("%d ranges differ", d)
	}
}

// A disk that stalls holds up neither renewals nor writes; its leader leaves the
// leadership to others by its own clock when that lasts, and is a candidate for none before
// the disk has taken what waits for it.
func TestLeaderWithStalledDiskStepsDown(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, false)
	own := w.leader()
	w.members[own].isDiskStuck = true
	w.results = nil
	from := w.now
	w.advance(25*time.Millisecond, true)
	for w.members[own].replica.IsLeader(w.now) && w.now < from+10*time.Second {
		w.advance(25*time.Millisecond, true)
	}
	if d := w.now - from; d < maxDiskStallLeases*cfg.LeaderLease ||
		d > maxDiskStallLeases*cfg.LeaderLease+cfg.HeartbeatInterval {
		t.Errorf("stepped down after %v", d)
	}
	most := int(maxDiskStallLeases * cfg.LeaderLease / (30 * time.Millisecond))
	if n := len(w.results); n < most || w.results[n-2].Outcome != Committed {
		t.Errorf("%d writes settled meanwhile", n)
	}
	w.advance(3*time.Second, true)
	if next := w.leader(); next == own || next == "" {
		t.Fatalf("leader is %q", next)
	}
	w.members[own].isDiskStuck = false
	w.flush(own)
	w.advance(cfg.LeaderLease, true)
	w.deliver()
	if d := w.countDifferingRanges(own, w.leader()); d > 0 {
		t.Errorf("%d ranges differ", d)
	}
}

// A leader's own copy of a key that is dropped in the batch that brings it is
// on no disk either: what is read back is what was held.
func TestDiskMatchesReplicaState(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, true)
	own := w.leader()
	put := func(recs ...message.Record) {
		o, _ := w.members[own].replica.Write(w.now, 7, recs)
		w.apply(own, o)
		w.deliver()
	}
	put(message.Record{Key: "once/old"})
	floor, _ := json.Marshal(w.members[own].replica.LastWritten())
	put(message.Record{Key: "once/new"})
	put(message.Record{Key: FloorKey, Value: floor})
	w.members[w.anyFollower()].isCutOff = true
	w.advance(3*time.Second, true)
	w.members[own].isCutOff = true
	for _, m := range w.members {
		m.isCutOff = m.isCutOff && m != w.members[own]
	}
	w.advance(4*time.Second, true)
	for id, m := range w.members {
		d := countDifferingRanges(m.replica.Records(), m.records)
		if d > 0 || m.replica.Meta().Sum(m.replica.Records()) != m.meta.Sum(m.records) {
			t.Errorf("%s: %d ranges of the disk differ", id, d)
		}
	}
}

// A copy that is cut short on its way is not taken for a whole one; the whole
// one is.
func TestTruncatedInstallIsRejected(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, true)
	own := w.members[w.leader()].replica
	fresh := restartedReplica(cfg, threeReplicas.Replicas[0], Meta{Group: threeReplicas}, w.now)
	var o Out
	own.sendInstall(w.now, message.Replica{Ident: "new"}, fresh.Records().Digests(), &o)
	install := o.Sends[0].Message
	install.From, install.Addr = w.leader(), w.leader()
	if install.From == "a" {
		fresh.self = threeReplicas.Replicas[1]
	}
	for cut := range install.Records {
		short := install
		short.Records = install.Records[:cut]
		if out := fresh.Step(w.now, short); !isMismatch(out) || fresh.Meta().LastComplete == install.Term {
			t.Fatalf("%d of %d records taken for all: %+v", cut, len(install.Records), out)
		}
	}
	out := fresh.Step(w.now, install)
	isInstalled := fresh.Meta().LastComplete == install.Term && fresh.Records().Sum() == own.Records().Sum()
	if len(out.Saves) != 1 || !isInstalled {
		t.Errorf("the whole copy isn't taken: %+v", out)
	}
}

// Marks of records that are gone last until the next term: then no copy has them,
// and a replica that still holds the records brings none back.
func TestTombstonesAreDroppedInNextTerm(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, false)
	own, late := w.leader(), w.anyFollower()
	put := func(i int, dead bool) {
		record := message.Record{Key: fmt.Sprint("berth/", i), Deleted: dead}
		o, _ := w.members[own].replica.Write(w.now, uint64(1000+i), []message.Record{record})
		w.apply(own, o)
		w.deliver()
	}
	for i := range 300 {
		put(i, false)
	}
	put(300, false)
	w.members[late].isCutOff = true
	for i := range 300 {
		put(i, true)
	}
	if n := w.members[own].replica.Records().Size(); n != 301 {
		t.Fatalf("%d records", n)
	}
	w.members[late].isCutOff, w.members[own].isCutOff = false, true // it has the records still, and the marks are with one
	w.advance(3*time.Second, false)
	if w.leader() == own || w.leader() == "" {
		t.Fatalf("the leader is %q", w.leader())
	}
	w.members[own].isCutOff = false
	w.advance(3*time.Second, false)
	for id, m := range w.members {
		if m.replica.Records().Size() != 1 || m.records.Size() != 1 {
			t.Errorf("%s holds %d records, its disk %d", id, m.replica.Records().Size(), m.records.Size())
		}
	}
}
