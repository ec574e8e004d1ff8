package lease_test

import (
	"fmt"
	"hash/crc32"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var (
	randomNames = []string{"a", "b", "c", "d", "relay", "root"}
	randomKeys  = []string{"k", "l", "m"}
)

// randomTree is a recorder with random changes to its links, nodes and records.
type randomTree struct {
	*recorder
	rng       *rand.Rand
	leader    string
	term      uint64
	lastTag   uint64
	suspended map[string]uint64 // key -> tag of the write in progress
	lossRate  float64           // fraction of messages that are lost
	maxDelay  time.Duration     // maximum random delay of a message, in addition to 1 ms
	isolated  map[string]bool   // nodes that cannot communicate with the others
}

func newRandomTree(t *testing.T, seed int64, messages *strings.Builder) *randomTree {
	cfg := goldenConfig
	cfg.LoadInterval, cfg.MaxRenewals, cfg.MinGain = time.Second, 12, 2*time.Millisecond
	r := &randomTree{
		recorder: newRecorder(t, cfg, messages), rng: rand.New(rand.NewSource(seed)),
		leader: "root", term: 1, lastTag: 1,
		suspended: map[string]uint64{}, isolated: map[string]bool{},
	}
	for i, key := range randomKeys {
		r.records[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: 1}, Value: longValue(i)}
	}
	for _, name := range randomNames {
		r.startNode(name, randomKeys[r.rng.Intn(3)], randomKeys[r.rng.Intn(3)])
		r.nodes[name].RelayOf = relayOf
	}
	r.makeRoot(r.leader, r.term)
	for _, name := range randomNames[:4] {
		r.setParent(name, "relay")
	}
	r.setParent("relay", "root")
	r.isLost = func(from, to string, _ *message.Message) bool {
		return r.isolated[from] != r.isolated[to] || r.rng.Float64() < r.lossRate
	}
	r.delay = func(string, string) time.Duration {
		return time.Millisecond + time.Duration(r.rng.Int63n(int64(r.maxDelay)+1)).Truncate(time.Millisecond)
	}
	return r
}

func relayOf(string) message.Replica { return goldenReplica("relay") }

// randomEvent applies one random change, or none.
func (r *randomTree) randomEvent() {
	name, key := randomNames[r.rng.Intn(len(randomNames))], randomKeys[r.rng.Intn(len(randomKeys))]
	switch r.rng.Intn(24) {
	case 0:
		r.lossRate = r.rng.Float64() * 0.3
	case 1:
		r.lossRate, r.isolated = 0, map[string]bool{}
	case 2:
		r.maxDelay = time.Duration(r.rng.Intn(400)) * time.Millisecond
	case 3:
		r.maxDelay = 0
	case 4:
		r.isolated[name] = !r.isolated[name]
	case 5:
		r.restart(name, key)
	case 6, 7:
		if name != r.leader {
			r.setParent(name, randomNames[r.rng.Intn(len(randomNames))])
		}
	case 8:
		r.changeLeader(name)
	case 9, 10, 11:
		r.logAndSend(name, r.nodes[name].Pin(r.now, key))
	case 12, 13, 14, 15, 16, 17:
		r.beginWrite(key)
	}
}

// restart restarts a node, except the leader and the relay. With two incarnations of the
// relay, the result of relayRenewCost would depend on the iteration order of a map.
func (r *randomTree) restart(name, key string) {
	if name == r.leader || name == "relay" {
		return
	}
	r.startNode(name, key)
	r.nodes[name].RelayOf = relayOf
	r.setParent(name, r.leader)
}

// changeLeader makes another node the root, in half of the cases after waiting for the
// previous leader's lease to expire.
func (r *randomTree) changeLeader(name string) {
	r.nodes[r.leader].ResignRoot()
	if r.rng.Intn(2) == 0 {
		r.advance(r.rootLeaseEnd - r.now)
	}
	r.leader, r.term, r.suspended = name, r.term+1, map[string]uint64{}
	r.makeRoot(r.leader, r.term)
	for _, other := range randomNames {
		if other != r.leader && r.rng.Intn(3) > 0 {
			r.setParent(other, r.leader)
		}
	}
}

func (r *randomTree) beginWrite(key string) {
	if r.suspended[key] != 0 {
		return
	}
	r.lastTag++
	r.suspended[key] = r.lastTag
	r.logAndSend(r.leader, r.nodes[r.leader].Suspend(r.now, key, r.lastTag))
}

// finishWrites completes the writes whose invalidation is complete.
func (r *randomTree) finishWrites() {
	for _, key := range randomKeys {
		tag := r.suspended[key]
		if tag == 0 || !slices.Contains(r.completedTags, tag) {
			continue
		}
		delete(r.suspended, key)
		r.records[key] = message.Record{
			Key: key, Version: message.Version{Term: r.term, Seq: tag},
			Value: longValue(int(tag)), Deleted: tag%5 == 0,
		}
		r.logAndSend(r.leader, r.nodes[r.leader].Resume(r.now, key))
	}
}

// recordRandom runs a tree for 40 s with random losses, delays, writes, restarts, and
// changes of leader and parents. It logs only a checksum of the messages per second.
func recordRandom(t *testing.T, seed int64, log *strings.Builder) {
	var messages strings.Builder
	r := newRandomTree(t, seed, &messages)
	for step := range 400 {
		r.randomEvent()
		r.advance(100 * time.Millisecond)
		r.finishWrites()
		if step%10 == 9 {
			r.logState(randomKeys...)
			text := messages.String()
			fmt.Fprintf(log, "seed %d, %v: %d lines, %08x\n",
				seed, r.now, strings.Count(text, "\n"), crc32.ChecksumIEEE([]byte(text)))
			messages.Reset()
		}
	}
}
