// Package mutants holds the faults put into the product on purpose. The
// scripts build each and have a scene's judge, an invariant or a test name it; here
// they are only kept in step with the code.
package mutants

import (
	"os/exec"
	"testing"
)

func TestEachMutantStillHasItsPlace(t *testing.T) {
	for _, script := range []string{"mutants.sh", "invariants.sh", "answers.sh", "rules.sh"} {
		out, err := exec.Command("bash", script, "-places").CombinedOutput()
		if err != nil || len(out) > 0 {
			t.Errorf("%s: %v:\n%s", script, err, out)
		}
	}
}
