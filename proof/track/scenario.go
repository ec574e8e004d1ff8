package track

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"mulleinmast/proof/journal"
	"mulleinmast/proof/judge"
	"mulleinmast/proof/load"
)

// Report is what a scenario came to.
type Report struct {
	Load   load.Report
	Notes  []string
	Counts map[string]int64
	Broken []judge.Break
	Events int
	Failed bool
}

// Say notes something seen.
//
// Example: r.Say("owner back after %v", took)
func (r *Report) Say(how string, args ...any) { r.Notes = append(r.Notes, fmt.Sprintf(how, args...)) }

// Fail notes something that should not have been.
//
// Example: r.Fail("no owner after %v", limit)
func (r *Report) Fail(how string, args ...any) {
	r.Failed = true
	r.Say("FAILED "+how, args...)
}

// Scenario makes things happen while load runs.
type Scenario func(ctx context.Context, f *Fleet, r *Report)

// Names lists the scenarios.
//
// Example: for _, n := range track.Names() { fmt.Println(n) }
func Names() []string {
	out := make([]string, 0, len(Scenarios))
	for n := range Scenarios {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Play runs a scenario under load and judges what happened.
//
// Example: rep := f.Play(ctx, track.Scenarios["calm"], cfg)
func (f *Fleet) Play(ctx context.Context, s Scenario, c load.Config) *Report {
	r := &Report{}
	var ev []journal.Event
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); ev = f.Load(ctx, c) }()
	t := time.NewTimer(c.For / 5)
	<-t.C
	s(ctx, f, r)
	wg.Wait()
	r.Load = load.Sum(ev)
	r.Counts = f.Numbers()
	r.Broken, r.Events = f.Verdict()
	return r
}

// Scenarios are the failures that can be brought about.
var Scenarios = map[string]Scenario{
	"calm": func(context.Context, *Fleet, *Report) {},
}
