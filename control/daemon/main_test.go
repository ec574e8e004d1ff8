package daemon

import (
	"os"
	"testing"

	"mulleinmast/control/invariant"
)

// TestMain fails the package's tests on a violated invariant.
func TestMain(m *testing.M) { os.Exit(invariant.Main(m)) }
