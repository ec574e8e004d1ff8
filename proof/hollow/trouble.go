package hollow

import (
	"fmt"
	"time"
)

// Put takes one change through the fleet: the time until its yes, and until
// it is in force at every daemon that can be reached.
//
// Example: yes, everywhere, n, err := f.Put()
func (f *Fleet) Put() (yes, everywhere time.Duration, n int, err error) {
	want := f.base + 1
	done := make(chan struct{})
	go func() { // asked beside, for daemons may have it before the yes is out
		defer close(done)
		var took time.Duration
		n, took = f.Await(Command{Version: want, Wait: 30 * time.Second})
		everywhere = took
	}()
	yes, err = f.Change()
	<-done
	return yes, everywhere, n, err
}

// Changes sends changes at a steady rate until the time is up; it tells how
// many were taken and how long the longest took.
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

// Replace gives so many servers a new life and waits until every daemon has it.
//
// Example: took, n := f.Replace(3)
func (f *Fleet) Replace(count int) (took time.Duration, n int) {
	var list []int
	for i := range count {
		f.no++
		list = append(list, (f.no*7919+i*f.Models)%max(1, f.Servers))
	}
	at := time.Now()
	n = f.Daemons
	for model, id := range f.source.replace(list...) {
		got, _ := f.Await(Command{Model: model, Mark: id, Wait: 30 * time.Second})
		n = min(n, got)
	}
	return time.Since(at), n
}

// of lists the daemons that a test picks.
func (f *Fleet) of(pick func(Spec) bool) (in []int) {
	for _, s := range f.specs {
		if pick(s) {
			in = append(in, s.Index)
		}
	}
	return in
}

// LoseZone cuts a zone off at once, as when its power goes: nothing comes from
// it or reaches it any more. It returns the daemons that are left.
//
// Example: left := f.LoseZone(1)
func (f *Fleet) LoseZone(zone int) int {
	gone := f.of(func(s Spec) bool { return s.Zone == zone })
	cut := map[int][]string{}
	for _, i := range gone {
		cut[i] = []string{"*"}
	}
	f.cut(cut)
	f.lost = gone
	return f.Daemons - len(gone)
}

// LoseLink cuts two regions off from each other.
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

// Mend takes every cut away.
//
// Example: f.Mend()
func (f *Fleet) Mend() {
	f.cut(nil)
	f.lost = nil
}

func (f *Fleet) cut(cut map[int][]string) {
	f.each(func(int) Command { return Command{Op: "cut", Cut: cut} })
}

// Leaders tells which daemons own parts, by part.
//
// Example: leader := f.Leaders()[0]
func (f *Fleet) Leaders() map[int]int {
	out := map[int]int{}
	for _, s := range f.read().snaps {
		for _, p := range s.Owns {
			out[p] = s.Index
		}
	}
	return out
}

// ZoneOf is a daemon's zone.
//
// Example: f.LoseZone(f.ZoneOf(f.Leaders()[0]))
func (f *Fleet) ZoneOf(index int) int { return f.specs[index].Zone }

// String tells the fleet's sizes.
//
// Example: fmt.Println(f)
func (f *Fleet) String() string {
	return fmt.Sprintf("%d daemons, %d servers, %d tenants, %d routes", f.Daemons, f.Servers, f.Tenants, f.Routes)
}
