// Package invariant counts violations of conditions that must hold at all times.
// A check says nothing while its condition holds; a violation is counted,
// reported, and survived: the caller goes on in the safest way that it has. The
// counts stand among the metrics of a daemon, and tests fail if any of them
// has risen.
package invariant

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Check is one condition with the count of its violations.
type Check struct {
	name       string // as metrics bear it
	means      string // what holds, for people
	violations atomic.Int64
}

// registry holds all checks of the process.
var registry struct {
	mu     sync.Mutex // guards checks
	checks []*Check
}

// reporter hears of each violation; nil: nobody does.
var reporter atomic.Pointer[func(name, text string)]

// New registers a check under a name that metrics can bear; means says what
// holds, for people.
//
// Example: var once = invariant.New("unsafe_run_twice", "a request that may not be repeated is run once")
func New(name, means string) *Check {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	c := &Check{name: name, means: means}
	registry.checks = append(registry.checks, c)
	return c
}

// Hold counts and reports a violation unless the condition holds, and returns
// the condition. format and args say, as in fmt.Sprintf, what is violated and where.
//
// Example: if !once.Hold(sends == 1, "%s was sent %d times", id, sends) { refuse() }
func (c *Check) Hold(condition bool, format string, args ...any) bool {
	if condition {
		return true
	}
	c.violations.Add(1)
	if report := reporter.Load(); report != nil {
		(*report)(c.name, fmt.Sprintf(format, args...))
	}
	return false
}

// Name is the check's name.
//
// Example: fmt.Println(once.Name())
func (c *Check) Name() string { return c.name }

// Count is the number of violations since the start of the process.
//
// Example: if once.Count() > 0 { alarm() }
func (c *Check) Count() int64 { return c.violations.Load() }

// Discount takes violations that a test made on purpose off the count.
//
// Example: defer once.Discount(1)
func (c *Check) Discount(violations int64) { c.violations.Add(-violations) }

// All lists the checks by name.
//
// Example: for _, c := range invariant.All() { fmt.Println(c.Name(), c.Count()) }
func All() []*Check {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	list := slices.Clone(registry.checks)
	slices.SortFunc(list, func(a, b *Check) int { return strings.Compare(a.name, b.name) })
	return list
}

// Total is the number of violations of all checks.
//
// Example: if invariant.Total() > 0 { fail() }
func Total() (n int64) {
	for _, c := range All() {
		n += c.Count()
	}
	return n
}

// Report has violations reported to f, which may be called from any goroutine. The
// function that it returns has them reported as before again.
//
// Example: restore := invariant.Report(func(name, text string) { log.Println(name, text) })
func Report(f func(name, text string)) (restore func()) {
	before := reporter.Swap(&f)
	return func() { reporter.Store(before) }
}

// Main runs a package's tests and fails them if any check was violated.
//
// Example: func TestMain(m *testing.M) { os.Exit(invariant.Main(m)) }
func Main(tests interface{ Run() int }) int {
	Report(func(name, text string) {
		_, _ = fmt.Fprintf(os.Stderr, "invariant %s is violated: %s\n", name, text)
	})
	code := tests.Run()
	for _, c := range All() {
		if n := c.Count(); n > 0 {
			_, _ = fmt.Fprintf(os.Stderr, "FAIL: invariant %s was violated %d times: %s\n", c.name, n, c.means)
			code = max(code, 1)
		}
	}
	return code
}
