package scene

import "testing"

// When all servers of a service are cold, the daemons together must not exceed the rate
// that each server can handle while cold.
func TestServiceWithOnlyColdServers(t *testing.T) {
	play(t, build(t), "cold", 150, 0.3)
}
