package forward

import (
	"hash/fnv"
	"strconv"
	"time"

	"mulleinmast/control/interlock"
	"mulleinmast/traffic/waybill"
)

// shared is the length in tokens of the parts that others may have in common
// with this prompt (the last part is its own), and a key for them.
func (t *trip) shared() (tokens int, key uint64) {
	h := fnv.New64a()
	for i, p := range t.Parts {
		if i == len(t.Parts)-1 {
			break
		}
		tokens += p.Tokens
		_, _ = h.Write(strconv.AppendUint(nil, p.Key, 16))
		_, _ = h.Write([]byte{'/'})
	}
	return tokens, h.Sum64()
}

// weight ranks servers for a key, alike on all daemons without talk.
func weight(key uint64, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(strconv.AppendUint(nil, key, 16))
	_, _ = h.Write([]byte(server))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// busy is how full a server is, in parts of its slots, as far as known here.
func (l *Lane) busy(now time.Duration, s Server) float64 {
	st := l.stats[s.Key]
	if st == nil {
		return 0
	}
	n := st.reading + st.writing
	if now-st.loadAt < l.cfg.Window/5 {
		n = max(n, st.load.Running+st.load.Waiting+n-st.mine)
	}
	return float64(n) / float64(max(1, s.Slots))
}

// candidates are the servers of a part that may get the request now: not
// tried before, not shy; failing that, shy ones.
func (l *Lane) candidates(now time.Duration, t *trip, part string, phase waybill.Phase) []Server {
	var good, shy, warm []Server
	for _, s := range l.rows {
		switch {
		case s.Part != part || t.led.Tried(phase, s.Key):
		case s.Warming:
			warm = append(warm, s)
		case now < l.stat(s.Key).shyUntil:
			shy = append(shy, s)
		default:
			good = append(good, s)
		}
	}
	switch {
	case len(good) > 0:
		return good
	case len(shy) > 0:
		return shy
	}
	return warm
}

// best is the candidate that weighs least: its load, its distance, and whether
// another one is more likely to hold the shared parts.
func (l *Lane) best(now time.Duration, t *trip, list []Server, zone string) (best Server, weighs float64) {
	tokens, key := t.shared()
	var home map[string]int
	if tokens >= l.cfg.Shared {
		home = l.ranks(list, key)
	}
	for _, s := range list {
		w := l.busy(now, s) + float64(home[s.Key])*l.cfg.Miss
		if s.Zone != zone {
			w += l.cfg.Far
		}
		// A hair of chance from the request itself keeps daemons from herding.
		w += float64(weight(t.dice, s.Key)%1024) / 1024 / float64(max(1, s.Slots))
		if best.Key == "" || w < weighs {
			best, weighs = s, w
		}
	}
	return best, weighs
}

// ranks orders the servers for a key, alike on all daemons of all zones; the
// first few have rank 0, 1, 2, all others 3.
func (l *Lane) ranks(list []Server, key uint64) map[string]int {
	own := make([]uint64, len(list))
	var top [3]uint64 // the highest, first to third
	for i, s := range list {
		w := weight(key, s.Key)
		own[i] = w
		for j := range top {
			if w > top[j] {
				w, top[j] = top[j], w
			}
		}
	}
	out := make(map[string]int, len(list))
	for i, s := range list {
		n := 0
		for _, w := range top {
			if w > own[i] {
				n++
			}
		}
		out[s.Key] = n
	}
	return out
}

// direct tells whether a writing server reads the prompt soon enough itself,
// were none of it known there.
func (l *Lane) direct(t *trip) bool {
	took := time.Duration(float64(t.In)/(l.pace/2)) * time.Millisecond
	return !t.Split || t.In == 0 || took <= time.Duration(l.cfg.Direct*float64(t.Aim))
}

// reader and maker pick the servers for the two halves.
func (l *Lane) reader(now time.Duration, t *trip) (Server, float64) {
	return l.best(now, t, l.candidates(now, t, interlock.Reader, waybill.Prefill), l.cfg.Zone)
}

func (l *Lane) maker(now time.Duration, t *trip, near string) (Server, float64) {
	return l.best(now, t, l.candidates(now, t, interlock.Maker, waybill.Decode), near)
}
