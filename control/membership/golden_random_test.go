package membership

import (
	"fmt"
	"hash/crc32"
	"math/rand"
	"strings"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// randomDaemon describes a daemon of the random fleet.
type randomDaemon struct {
	addr, zone string
	hasDisk    bool
}

var randomDaemons = []randomDaemon{
	{"a:1", "north", true},
	{"b:1", "south", true},
	{"d:1", "west", true},
	{"e:1", "north", true},
	{"m:1", "north", false},
	{"n:1", "south", false},
	{"o:1", "west", false},
	{"s:1", "south", false},
}

// randomFleet is a recorder with random changes of links, daemons and leaders.
type randomFleet struct {
	*recorder
	rng      *rand.Rand
	term     uint64          // term of the latest leader
	lossRate float64         // fraction of messages that are lost
	maxDelay time.Duration   // maximum delay of a message
	isCut    map[string]bool // addresses on one side of a network partition
}

func newRandomFleet(t *testing.T, seed int64, messages *strings.Builder) *randomFleet {
	r := &randomFleet{
		recorder: newRecorder(t, messages), rng: rand.New(rand.NewSource(seed)),
		term: 1, maxDelay: 20 * time.Millisecond, isCut: map[string]bool{},
	}
	r.seeds = []string{"a:1", "b:1", "s:1"}
	for _, d := range randomDaemons {
		r.start(d.addr, d.zone, d.hasDisk, r.seeds, true)
	}
	r.lossRate = r.rng.Float64() * 0.1
	r.isLost = func(from, to string) bool {
		return r.isCut[from] != r.isCut[to] || r.rng.Float64() < r.lossRate
	}
	r.delay = func() time.Duration {
		return time.Millisecond + time.Duration(r.rng.Int63n(int64(r.maxDelay)+1))
	}
	return r
}

// injectFault makes at most one random change.
func (r *randomFleet) injectFault() {
	d := randomDaemons[r.rng.Intn(len(randomDaemons))]
	switch r.rng.Intn(30) {
	case 0, 1:
		r.start(d.addr, d.zone, d.hasDisk, r.seeds, false)
	case 2:
		r.isCut[d.addr] = !r.isCut[d.addr]
	case 3, 4:
		r.lossRate, r.isCut = 0, map[string]bool{}
	case 5:
		r.lossRate = r.rng.Float64() * 0.4
	case 6:
		r.maxDelay = time.Duration(r.rng.Intn(700)) * time.Millisecond
	case 7:
		r.maxDelay = 0
	case 8, 9:
		r.changeLeader(r.daemons[d.addr])
	case 10:
		r.daemons[d.addr].table.AddControlAddrs(randomDaemons[r.rng.Intn(len(randomDaemons))].addr)
	}
}

// changeLeader makes a replica the leader of one partition and leaves the other partitions without
// a leader.
func (r *randomFleet) changeLeader(leader *recordedDaemon) {
	if leader.group == nil {
		return
	}
	r.term++
	for _, d := range r.daemons {
		d.leaderships = nil
	}
	leader.leaderships = []message.Leadership{{
		Partition: r.rng.Intn(3), Term: r.term, Leader: leader.self.Replica(),
	}}
}

// recordRandom runs a fleet for 40 s with losses, delays, cuts and restarts. The log contains
// only a checksum for every two seconds.
func recordRandom(t *testing.T, seed int64, log *strings.Builder) {
	var messages strings.Builder
	r := newRandomFleet(t, seed, &messages)
	for step := range 400 {
		r.injectFault()
		r.advance(100 * time.Millisecond)
		if step%20 == 19 {
			r.recordViews()
			text := messages.String()
			fmt.Fprintf(log, "seed %d, %v: %d lines, %08x\n",
				seed, r.now.Truncate(time.Millisecond), strings.Count(text, "\n"), crc32.ChecksumIEEE([]byte(text)))
			messages.Reset()
		}
	}
}
