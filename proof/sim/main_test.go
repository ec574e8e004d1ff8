package sim

import (
	"os"
	"testing"

	"mulleinmast/control/invariant"
)

// TestMain fails the package's tests if an invariant was violated.
func TestMain(m *testing.M) { os.Exit(invariant.Main(m)) }
