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

// randomDaemon is a place of the random fleet.
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

// randomFleet is a recorder whose links, daemons and leaders change at random.
type randomFleet struct {
	*recorder
	rng     *rand.Rand
	term    uint64          // of the latest leader
	losses  float64         // share of the messages that are lost
	slowest time.Duration   // delay of a message
	isCut   map[string]bool // addresses that are cut off from the others
}

func newRandomFleet(t *testing.T, seed int64, messages *strings.Builder) *randomFleet {
	r := &randomFleet{
		recorder: newRecorder(t, messages), rng: rand.New(rand.NewSource(seed)),
		term: 1, slowest: 20 * time.Millisecond, isCut: map[string]bool{},
	}
	r.seeds = []string{"a:1", "b:1", "s:1"}
	for _, d := range randomDaemons {
		r.start(d.addr, d.zone, d.hasDisk, r.seeds, true)
	}
	r.losses = r.rng.Float64() * 0.1
	r.lost = func(from, to string) bool {
		return r.isCut[from] != r.isCut[to] || r.rng.Float64() < r.losses
	}
	r.delay = func() time.Duration {
		return time.Millisecond + time.Duration(r.rng.Int63n(int64(r.slowest)+1))
	}
	return r
}

// disturb changes one thing, or nothing.
func (r *randomFleet) disturb() {
	d := randomDaemons[r.rng.Intn(len(randomDaemons))]
	switch r.rng.Intn(30) {
	case 0, 1:
		r.start(d.addr, d.zone, d.hasDisk, r.seeds, false)
	case 2:
		r.isCut[d.addr] = !r.isCut[d.addr]
	case 3, 4:
		r.losses, r.isCut = 0, map[string]bool{}
	case 5:
		r.losses = r.rng.Float64() * 0.4
	case 6:
		r.slowest = time.Duration(r.rng.Intn(700)) * time.Millisecond
	case 7:
		r.slowest = 0
	case 8, 9:
		r.changeLeader(r.daemons[d.addr])
	case 10:
		r.daemons[d.addr].table.AddControlAddrs(randomDaemons[r.rng.Intn(len(randomDaemons))].addr)
	}
}

// changeLeader has a replica lead one partition, and nobody the others.
func (r *randomFleet) changeLeader(leader *recordedDaemon) {
	if leader.group == nil {
		return
	}
	r.term++
	for _, d := range r.daemons {
		d.owns = nil
	}
	leader.owns = []message.Leadership{{
		Partition: r.rng.Intn(3), Term: r.term, Leader: leader.self.Replica(),
	}}
}

// recordRandom runs a fleet for 40 s under losses, delays, cuts and restarts; the log
// says each two seconds' checksum only.
func recordRandom(t *testing.T, seed int64, log *strings.Builder) {
	var messages strings.Builder
	r := newRandomFleet(t, seed, &messages)
	for step := range 400 {
		r.disturb()
		r.pass(100 * time.Millisecond)
		if step%20 == 19 {
			r.show()
			text := messages.String()
			fmt.Fprintf(log, "seed %d, %v: %d lines, %08x\n",
				seed, r.now.Truncate(time.Millisecond), strings.Count(text, "\n"), crc32.ChecksumIEEE([]byte(text)))
			messages.Reset()
		}
	}
}
