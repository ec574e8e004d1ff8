// Package mutants holds the faults put into the product on purpose. The script
// builds each and has a scene's judge name it; here they are only kept in step
// with the code.
package mutants

import (
	"os/exec"
	"testing"
)

func TestEachMutantStillHasItsPlace(t *testing.T) {
	out, err := exec.Command("bash", "mutants.sh", "-places").CombinedOutput()
	if err != nil || len(out) > 0 {
		t.Errorf("%v:\n%s", err, out)
	}
}
