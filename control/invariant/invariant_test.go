package invariant

import (
	"strings"
	"testing"
)

// A check reports nothing while its condition holds, and counts and reports each
// violation.
func TestViolationsAreCountedAndReported(t *testing.T) {
	check := New("test_condition", "no number is odd")
	var reports []string
	Report(func(name, text string) { reports = append(reports, name+": "+text) })
	before := Total()
	if !check.Hold(true, "never reported") || check.Count() != 0 || len(reports) != 0 {
		t.Errorf("condition holds, but %d violations were counted and %q reported", check.Count(), reports)
	}
	if check.Hold(false, "%d is odd", 3) || check.Count() != 1 || Total() != before+1 {
		t.Errorf("after one violation, Count is %d and Total is %d", check.Count(), Total())
	}
	if len(reports) != 1 || reports[0] != "test_condition: 3 is odd" {
		t.Errorf("reports are %q", reports)
	}
	names := ""
	for _, c := range All() {
		names += c.Name() + " "
	}
	if !strings.Contains(names, "test_condition") {
		t.Errorf("All returned %q, without the new check", names)
	}
}

type testResult int

func (t testResult) Run() int { return int(t) }

// Main fails passing tests if a check was violated while they ran, and keeps the exit
// code of failing tests.
func TestViolationFailsPackageTests(t *testing.T) {
	if code := Main(testResult(2)); code != 2 {
		t.Errorf("Main returned %d for tests that failed with 2", code)
	}
	New("test_violated", "no number is even").Hold(false, "4 is even")
	if code := Main(testResult(0)); code != 1 {
		t.Errorf("Main returned %d for passing tests with a violation", code)
	}
}
