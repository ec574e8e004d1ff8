package hollow

import (
	"fmt"
	"time"
)

// MeasureChange makes one change and returns the time until its acknowledgement, the time until
// it is visible on every reachable daemon, and the number of those daemons.
//
// Example: acked, everywhere, n, err := f.MeasureChange()
func (f *Fleet) MeasureChange() (acked, everywhere time.Duration, n int, err error) {
	want := f.version + 1
	done := make(chan struct{})
	go func() { // concurrent, since daemons may have the change before it is acknowledged
		defer close(done)
		var took time.Duration
		n, took = f.Await(Command{Version: want, Wait: 30 * time.Second})
		everywhere = took
	}()
	acked, err = f.Change()
	<-done
	return acked, everywhere, n, err
}

// Changes makes changes at a constant rate until stop fires. It returns how many were
// acknowledged and the longest time that one took.
//
// Example: n, longest := f.Changes(2, time.After(10*time.Second))
func (f *Fleet) Changes(rate float64, stop <-chan time.Time) (n int, longest time.Duration) {
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	for {
		select {
		case <-stop:
			return n, longest
		case <-t.C:
		}
		took, err := f.Change()
		if err == nil {
			n++
			longest = max(longest, took)
		}
	}
}

// Replace replaces a number of servers and waits until every daemon sees the new ones.
//
// Example: took, n := f.Replace(3)
func (f *Fleet) Replace(count int) (took time.Duration, n int) {
	var list []int
	for i := range count {
		f.sequence++
		list = append(list, (f.sequence*7919+i*f.Models)%max(1, f.Servers))
	}
	at := time.Now()
	n = f.Daemons
	for model, id := range f.serverSource.replace(list...) {
		got, _ := f.Await(Command{Model: model, Mark: id, Wait: 30 * time.Second})
		n = min(n, got)
	}
	return time.Since(at), n
}

// daemonsWhere returns the indexes of the daemons that match.
func (f *Fleet) daemonsWhere(matches func(Spec) bool) (in []int) {
	for _, s := range f.specs {
		if matches(s) {
			in = append(in, s.Index)
		}
	}
	return in
}

// LoseZone cuts a zone off, as in a power failure: no message leaves or reaches it.
// It returns the number of remaining daemons.
//
// Example: left := f.LoseZone(1)
func (f *Fleet) LoseZone(zone int) int {
	lost := f.daemonsWhere(func(s Spec) bool { return s.Zone == zone })
	cut := map[int][]string{}
	for _, i := range lost {
		cut[i] = []string{"*"}
	}
	f.cut(cut)
	f.lostDaemons = lost
	return f.Daemons - len(lost)
}

// LoseLink partitions two regions from each other.
//
// Example: f.LoseLink(0, 1)
func (f *Fleet) LoseLink(a, b int) {
	cut := map[int][]string{}
	for _, s := range f.specs {
		for _, o := range f.specs {
			if s.Region == a && o.Region == b || s.Region == b && o.Region == a {
				cut[s.Index] = append(cut[s.Index], o.Config.WireAddr)
			}
		}
	}
	f.cut(cut)
}

// HealPartitions removes all network partitions.
//
// Example: f.HealPartitions()
func (f *Fleet) HealPartitions() {
	f.cut(nil)
	f.lostDaemons = nil
}

func (f *Fleet) cut(cut map[int][]string) {
	f.runOnAll(func(int) Command { return Command{Op: "cut", Cut: cut} })
}

// Leaders returns the index of the leader of each partition.
//
// Example: leader := f.Leaders()[0]
func (f *Fleet) Leaders() map[int]int {
	out := map[int]int{}
	for _, s := range f.snapshot().snaps {
		for _, p := range s.Leads {
			out[p] = s.Index
		}
	}
	return out
}

// ZoneOf returns a daemon's zone.
//
// Example: f.LoseZone(f.ZoneOf(f.Leaders()[0]))
func (f *Fleet) ZoneOf(index int) int { return f.specs[index].Zone }

// String returns the fleet's sizes.
//
// Example: fmt.Println(f)
func (f *Fleet) String() string {
	return fmt.Sprintf("%d daemons, %d servers, %d tenants, %d routes", f.Daemons, f.Servers, f.Tenants, f.Routes)
}
