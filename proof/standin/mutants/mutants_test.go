// Package mutants holds scripts that plant faults in the product and check that a rule, an
// invariant or a test detects each one. The test here only checks that the scripts still
// match the code.
package mutants

import (
	"os/exec"
	"testing"
)

func TestEachMutantMatchesTheSources(t *testing.T) {
	for _, script := range []string{"mutants.sh", "invariants.sh", "answers.sh", "rules.sh"} {
		out, err := exec.Command("bash", script, "-places").CombinedOutput()
		if err != nil || len(out) > 0 {
			t.Errorf("%s: %v:\n%s", script, err, out)
		}
	}
}
