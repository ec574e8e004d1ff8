package scene

import "testing"

// When all servers of a service are cold, the daemons together send each of
// them no more than it bears.
func TestColdServersAlone(t *testing.T) {
	play(t, build(t), "cold", 150, 0.3)
}
