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

// randomTree is a recorder whose links, nodes and records change at random.
type randomTree struct {
	*recorder
	rng       *rand.Rand
	leader    string
	term      uint64
	lastTag   uint64
	suspended map[string]uint64 // key -> tag of the write under way
	losses    float64           // share of the messages that are lost
	slowest   time.Duration     // delay of a message
	isCut     map[string]bool   // nodes that are cut off from the others
}

func newRandomTree(t *testing.T, seed int64, messages *strings.Builder) *randomTree {
	cfg := goldenBounds
	cfg.LoadInterval, cfg.MaxRenewals, cfg.MinGain = time.Second, 12, 2*time.Millisecond
	r := &randomTree{
		recorder: newRecorder(t, cfg, messages), rng: rand.New(rand.NewSource(seed)),
		leader: "root", term: 1, lastTag: 1,
		suspended: map[string]uint64{}, isCut: map[string]bool{},
	}
	for i, key := range randomKeys {
		r.records[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: 1}, Value: longValue(i)}
	}
	for _, name := range randomNames {
		r.start(name, randomKeys[r.rng.Intn(3)], randomKeys[r.rng.Intn(3)])
		r.nodes[name].RelayOf = relayOf
	}
	r.lead(r.leader, r.term)
	for _, name := range randomNames[:4] {
		r.adopt(name, "relay")
	}
	r.adopt("relay", "root")
	r.lost = func(from, to string, _ *message.Message) bool {
		return r.isCut[from] != r.isCut[to] || r.rng.Float64() < r.losses
	}
	r.delay = func(string, string) time.Duration {
		return time.Millisecond + time.Duration(r.rng.Int63n(int64(r.slowest)+1)).Truncate(time.Millisecond)
	}
	return r
}

func relayOf(string) message.Replica { return goldenReplica("relay") }

// disturb changes one thing, or nothing.
func (r *randomTree) disturb() {
	name, key := randomNames[r.rng.Intn(len(randomNames))], randomKeys[r.rng.Intn(len(randomKeys))]
	switch r.rng.Intn(24) {
	case 0:
		r.losses = r.rng.Float64() * 0.3
	case 1:
		r.losses, r.isCut = 0, map[string]bool{}
	case 2:
		r.slowest = time.Duration(r.rng.Intn(400)) * time.Millisecond
	case 3:
		r.slowest = 0
	case 4:
		r.isCut[name] = !r.isCut[name]
	case 5:
		r.restart(name, key)
	case 6, 7:
		if name != r.leader {
			r.adopt(name, randomNames[r.rng.Intn(len(randomNames))])
		}
	case 8:
		r.changeLeader(name)
	case 9, 10, 11:
		r.take(name, r.nodes[name].Pin(r.now, key))
	case 12, 13, 14, 15, 16, 17:
		r.beginWrite(key)
	}
}

// restart starts a node anew. A relay with two incarnations has two RenewCosts, of which
// the map's order chooses one: it is left alone.
func (r *randomTree) restart(name, key string) {
	if name == r.leader || name == "relay" {
		return
	}
	r.start(name, key)
	r.nodes[name].RelayOf = relayOf
	r.adopt(name, r.leader)
}

// changeLeader makes another node the root, at times after the lease of the earlier.
func (r *randomTree) changeLeader(name string) {
	r.nodes[r.leader].ResignRoot()
	if r.rng.Intn(2) == 0 {
		r.pass(r.rootEnds - r.now)
	}
	r.leader, r.term, r.suspended = name, r.term+1, map[string]uint64{}
	r.lead(r.leader, r.term)
	for _, other := range randomNames {
		if other != r.leader && r.rng.Intn(3) > 0 {
			r.adopt(other, r.leader)
		}
	}
}

func (r *randomTree) beginWrite(key string) {
	if r.suspended[key] != 0 {
		return
	}
	r.lastTag++
	r.suspended[key] = r.lastTag
	r.take(r.leader, r.nodes[r.leader].Suspend(r.now, key, r.lastTag))
}

// finishWrites writes the records whose invalidation is complete.
func (r *randomTree) finishWrites() {
	for _, key := range randomKeys {
		tag := r.suspended[key]
		if tag == 0 || !slices.Contains(r.complete, tag) {
			continue
		}
		delete(r.suspended, key)
		r.records[key] = message.Record{
			Key: key, Version: message.Version{Term: r.term, Seq: tag},
			Value: longValue(int(tag)), Deleted: tag%5 == 0,
		}
		r.take(r.leader, r.nodes[r.leader].Resume(r.now, key))
	}
}

// recordRandom runs a tree for 40 s under losses, delays, writes, restarts and changes
// of the leader and of parents; the log says each second's checksum only.
func recordRandom(t *testing.T, seed int64, log *strings.Builder) {
	var messages strings.Builder
	r := newRandomTree(t, seed, &messages)
	for step := range 400 {
		r.disturb()
		r.pass(100 * time.Millisecond)
		r.finishWrites()
		if step%10 == 9 {
			r.show(randomKeys...)
			text := messages.String()
			fmt.Fprintf(log, "seed %d, %v: %d lines, %08x\n",
				seed, r.now, strings.Count(text, "\n"), crc32.ChecksumIEEE([]byte(text)))
			messages.Reset()
		}
	}
}
