// Package invariant counts violations of conditions that must always hold. A violation is
// counted and reported but does not stop the process: the caller continues in the safest
// way available. A daemon exports the counts as metrics, and tests fail if any count is
// above zero.
package invariant

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Check is a condition with a count of its violations.
type Check struct {
	name        string // as used in metrics
	description string // the condition, in words
	violations  atomic.Int64
}

// registry holds all checks in the process.
var registry struct {
	mu     sync.Mutex // guards checks
	checks []*Check
}

// reporter is called for each violation, if it is not nil.
var reporter atomic.Pointer[func(name, text string)]

// New registers a check. The name must be usable in metrics; the description states the
// condition in words.
//
// Example: var once = invariant.New("unsafe_run_twice", "a request that may not be repeated is run once")
func New(name, description string) *Check {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	c := &Check{name: name, description: description}
	registry.checks = append(registry.checks, c)
	return c
}

// Hold counts and reports a violation if the condition is false, and returns the
// condition. format and args, as in fmt.Sprintf, describe the violation.
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

// Name returns the check's name.
//
// Example: fmt.Println(once.Name())
func (c *Check) Name() string { return c.name }

// Count returns the number of violations since the process started.
//
// Example: if once.Count() > 0 { alarm() }
func (c *Check) Count() int64 { return c.violations.Load() }

// Discount subtracts violations that a test caused on purpose.
//
// Example: defer once.Discount(1)
func (c *Check) Discount(violations int64) { c.violations.Add(-violations) }

// All returns all checks, sorted by name.
//
// Example: for _, c := range invariant.All() { fmt.Println(c.Name(), c.Count()) }
func All() []*Check {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	list := slices.Clone(registry.checks)
	slices.SortFunc(list, func(a, b *Check) int { return strings.Compare(a.name, b.name) })
	return list
}

// Total returns the number of violations of all checks.
//
// Example: if invariant.Total() > 0 { fail() }
func Total() (n int64) {
	for _, c := range All() {
		n += c.Count()
	}
	return n
}

// Report sets the function that is called for each violation; f may be called from any
// goroutine. The returned function restores the previous reporter.
//
// Example: restore := invariant.Report(func(name, text string) { log.Println(name, text) })
func Report(f func(name, text string)) (restore func()) {
	previous := reporter.Swap(&f)
	return func() { reporter.Store(previous) }
}

// Main runs a package's tests and returns their exit code, or a failure if any check was
// violated.
//
// Example: func TestMain(m *testing.M) { os.Exit(invariant.Main(m)) }
func Main(tests interface{ Run() int }) int {
	Report(func(name, text string) {
		_, _ = fmt.Fprintf(os.Stderr, "invariant %s violated: %s\n", name, text)
	})
	code := tests.Run()
	for _, c := range All() {
		if n := c.Count(); n > 0 {
			_, _ = fmt.Fprintf(os.Stderr, "FAIL: invariant %s violated %d times: %s\n", c.name, n, c.description)
			code = max(code, 1)
		}
	}
	return code
}
