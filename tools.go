//go:build tools

// Package mulleinmast pins the generator that go generate runs.
package mulleinmast

import _ "github.com/tinylib/msgp"
