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

// trioMember is one replica of a trio and its disk.
type trioMember struct {
	replica     *Replica
	isCutOff    bool
	isDiskStuck bool            // the disk completes no save
	waiting     []Save          // the saves that wait for the disk
	meta        Meta            // on disk
	records     *digest.Records // on disk
}

// trio is a group of three replicas whose messages arrive immediately and in order.
type trio struct {
	t        *testing.T
	now      time.Duration
	members  map[string]*trioMember
	inFlight []message.Envelope
	results  []WriteResult
	lastTag  uint64

	hasEpochs bool // messages carry the incarnation of their sender's folder
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

// start starts a replica from the state on its disk.
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

// flush completes the waiting saves.
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

// deliver delivers all messages in flight.
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

// advance lets the duration d pass in ticks of 25 ms. If writing is set, the leader starts a
// write at each tick. The messages of a write are delivered at the next tick.
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

// isMismatch reports whether a step saves nothing and answers only with a StateMismatch.
func isMismatch(out Out) bool {
	return len(out.Saves) == 0 && len(out.Sends) == 1 && out.Sends[0].Message.Kind == message.KindStateMismatch
}

// countDifferingRanges returns the number of ranges in which two replicas' records differ.
func (w *trio) countDifferingRanges(a, b string) int {
	return countDifferingRanges(w.members[a].replica.Records(), w.members[b].replica.Records())
}

// anyFollower returns a replica that isn't the leader.
func (w *trio) anyFollower() string {
	for _, id := range []string{"a", "b", "x"} {
		if id != w.leader() {
			return id
		}
	}
	return ""
}

// A replica that was cut off during hundreds of writes must be up to date within 1.5 leader
// leases after it is reconnected, even while writes continue.
func TestReturningReplicaCatchesUpDuringWrites(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, false)
	leaderID, cutOffID := w.leader(), w.anyFollower()
	w.members[cutOffID].isCutOff = true
	w.advance(15*time.Second, true) // 600 changes
	if w.leader() != leaderID {
		t.Fatalf("the leader changed from %q to %q", leaderID, w.leader())
	}
	w.members[cutOffID].isCutOff = false
	w.advance(3*cfg.LeaderLease/2, true)
	w.deliver()
	if d := w.countDifferingRanges(leaderID, cutOffID); d > 0 {
		t.Errorf("%d of %d ranges differ after the catch-up", d, digest.Ranges)
	}
}

// restartWithout restarts a replica from a disk that lost a record.
func (w *trio) restartWithout(id, key string) {
	m := w.members[id]
	sum := m.meta.Sum(m.records)
	m.records.Delete(key)
	m.meta.Incomplete = m.meta.Incomplete || sum != m.meta.Sum(m.records)
	w.start(id)
}

// A replica whose disk lost a record must not vote. Otherwise it could form a majority with a
// replica that missed the write, and elect a leader without the record.
func TestIncompleteReplicaDoesNotVote(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, false)
	leaderID, cutOffID := w.leader(), w.anyFollower()
	third := "abx"
	for _, id := range []string{leaderID, cutOffID} {
		third = strings.ReplaceAll(third, id, "")
	}
	w.members[cutOffID].isCutOff = true // so that this replica misses the write
	tag := w.write(leaderID)
	w.deliver()
	if !slices.Contains(w.results, WriteResult{tag, Committed}) {
		t.Fatal("the write was not committed")
	}
	w.restartWithout(third, fmt.Sprint("k", tag))
	w.members[leaderID].isCutOff, w.members[cutOffID].isCutOff = true, false
	for i := 0; i < 400; i++ {
		w.advance(25*time.Millisecond, false)
		if w.members[cutOffID].replica.IsLeader(w.now) || w.members[third].replica.IsLeader(w.now) {
			_, ok := w.members[w.leader()].replica.Records().Get(fmt.Sprint("k", tag))
			t.Fatalf("%s was elected with the vote of an incomplete replica; it holds the write: %v", w.leader(), ok)
		}
	}
	w.members[leaderID].isCutOff = false
	w.advance(4*time.Second, false)
	for id, m := range w.members {
		if _, ok := m.replica.Records().Get(fmt.Sprint("k", tag)); !ok || m.replica.Meta().Incomplete || m.meta.Incomplete {
			t.Errorf("%s: holds the write: %v, incomplete: %v", id, ok, m.replica.Meta().Incomplete)
		}
	}
	if w.leader() == "" {
		t.Error("no leader")
	}
}

// An incomplete replica rejects writes, and a leader reinstalls its records within two
// heartbeat intervals.
func TestIncompleteReplicaIsReinstalled(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, true)
	leaderID, incomplete := w.leader(), w.anyFollower()
	w.restartWithout(incomplete, "k1")
	write := message.Replicate{Term: w.members[leaderID].replica.Term(), RequestID: 1, Group: threeReplicas}.Message(1)
	write.From, write.Addr = leaderID, leaderID
	if out := w.members[incomplete].replica.Step(w.now, write); !isMismatch(out) {
		t.Errorf("an incomplete replica accepted a write: %+v", out)
	}
	w.advance(2*cfg.HeartbeatInterval, false)
	w.deliver()
	if m := w.members[incomplete]; m.replica.Meta().Incomplete || m.meta.Incomplete {
		t.Error("still incomplete")
	}
	if d := w.countDifferingRanges(leaderID, incomplete); d > 0 {
		t.Errorf("%d ranges differ", d)
	}
}

// A leader with a stalled disk continues to renew its lease and commit writes through
// the other replicas. If the stall lasts for maxDiskStallLeases, the leader steps down, and
// must not become a candidate before its waiting saves are on disk.
func TestLeaderWithStalledDiskStepsDown(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, false)
	leaderID := w.leader()
	w.members[leaderID].isDiskStuck = true
	w.results = nil
	from := w.now
	w.advance(25*time.Millisecond, true)
	for w.members[leaderID].replica.IsLeader(w.now) && w.now < from+10*time.Second {
		w.advance(25*time.Millisecond, true)
	}
	if d := w.now - from; d < maxDiskStallLeases*cfg.LeaderLease ||
		d > maxDiskStallLeases*cfg.LeaderLease+cfg.HeartbeatInterval {
		t.Errorf("stepped down after %v", d)
	}
	minWrites := int(maxDiskStallLeases * cfg.LeaderLease / (30 * time.Millisecond))
	if n := len(w.results); n < minWrites || w.results[n-2].Outcome != Committed {
		t.Errorf("%d write results during the stall, too few or not committed", n)
	}
	w.advance(3*time.Second, true)
	if next := w.leader(); next == leaderID || next == "" {
		t.Fatalf("leader is %q", next)
	}
	w.members[leaderID].isDiskStuck = false
	w.flush(leaderID)
	w.advance(cfg.LeaderLease, true)
	w.deliver()
	if d := w.countDifferingRanges(leaderID, w.leader()); d > 0 {
		t.Errorf("%d ranges differ", d)
	}
}

// The save that stores the floor also deletes the records below it. The disk must then hold
// the same records as the replica, with the same checksum.
func TestDiskMatchesReplicaState(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, true)
	leaderID := w.leader()
	put := func(recs ...message.Record) {
		o, _ := w.members[leaderID].replica.Write(w.now, 7, recs)
		w.apply(leaderID, o)
		w.deliver()
	}
	put(message.Record{Key: "once/old"})
	floor, _ := json.Marshal(w.members[leaderID].replica.LastWritten())
	put(message.Record{Key: "once/new"})
	put(message.Record{Key: FloorKey, Value: floor})
	w.members[w.anyFollower()].isCutOff = true
	w.advance(3*time.Second, true)
	w.members[leaderID].isCutOff = true
	for _, m := range w.members {
		m.isCutOff = m.isCutOff && m != w.members[leaderID]
	}
	w.advance(4*time.Second, true)
	for id, m := range w.members {
		d := countDifferingRanges(m.replica.Records(), m.records)
		if d > 0 || m.replica.Meta().Sum(m.replica.Records()) != m.meta.Sum(m.records) {
			t.Errorf("%s: %d ranges of the disk differ", id, d)
		}
	}
}

// An InstallState that was truncated in transit must not be treated as complete.
func TestTruncatedInstallIsRejected(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, true)
	leaderReplica := w.members[w.leader()].replica
	fresh := restartedReplica(cfg, threeReplicas.Replicas[0], Meta{Group: threeReplicas}, w.now)
	var o Out
	leaderReplica.sendInstall(w.now, message.Replica{Ident: "new"}, fresh.Records().Digests(), &o)
	install := o.Sends[0].Message
	install.From, install.Addr = w.leader(), w.leader()
	if install.From == "a" {
		fresh.self = threeReplicas.Replicas[1]
	}
	for size := range install.Records {
		truncated := install
		truncated.Records = install.Records[:size]
		if out := fresh.Step(w.now, truncated); !isMismatch(out) || fresh.Meta().LastComplete == install.Term {
			t.Fatalf("an install with %d of %d records was accepted: %+v", size, len(install.Records), out)
		}
	}
	out := fresh.Step(w.now, install)
	isInstalled := fresh.Meta().LastComplete == install.Term && fresh.Records().Sum() == leaderReplica.Records().Sum()
	if len(out.Saves) != 1 || !isInstalled {
		t.Errorf("the complete install was not accepted: %+v", out)
	}
}

// Tombstones last until the next term and are then dropped from all copies. A replica
// that missed the deletions and still holds the records must not bring them back.
func TestTombstonesAreDroppedInNextTerm(t *testing.T) {
	w := newTrio(t)
	w.advance(3*time.Second, false)
	leaderID, cutOffID := w.leader(), w.anyFollower()
	put := func(i int, dead bool) {
		record := message.Record{Key: fmt.Sprint("berth/", i), Deleted: dead}
		o, _ := w.members[leaderID].replica.Write(w.now, uint64(1000+i), []message.Record{record})
		w.apply(leaderID, o)
		w.deliver()
	}
	for i := range 300 {
		put(i, false)
	}
	put(300, false)
	w.members[cutOffID].isCutOff = true
	for i := range 300 {
		put(i, true)
	}
	if n := w.members[leaderID].replica.Records().Size(); n != 301 {
		t.Fatalf("%d records, expected 301 with the tombstones", n)
	}
	// The reconnected replica still holds the records, and another replica holds the tombstones.
	w.members[cutOffID].isCutOff, w.members[leaderID].isCutOff = false, true
	w.advance(3*time.Second, false)
	if w.leader() == leaderID || w.leader() == "" {
		t.Fatalf("the leader is %q", w.leader())
	}
	w.members[leaderID].isCutOff = false
	w.advance(3*time.Second, false)
	for id, m := range w.members {
		if m.replica.Records().Size() != 1 || m.records.Size() != 1 {
			t.Errorf("%s holds %d records, its disk %d", id, m.replica.Records().Size(), m.records.Size())
		}
	}
}
