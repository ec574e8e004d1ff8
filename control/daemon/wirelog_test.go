package daemon

import (
	"testing"
	"time"

	"mulleinmast/wire/transport"
)

// The traffic of a busy link is logged, with the largest message kind first. The traffic of an idle
// link isn't logged.
func TestBusyLinkIsLogged(t *testing.T) {
	const second = time.Second
	counts := func(grants, hellos int64) map[string]transport.KindCount {
		return map[string]transport.KindCount{"grant": {SentBytes: grants, ReceivedBytes: 1024}, "hello": {SentBytes: hellos}}
	}
	before := wireUsage{second, counts(1<<20, 1<<20)}
	busy := wireUsage{3 * second, counts(2<<20, 1<<20+2048)}
	if got, want := busy.since(before), "sent 513 KB/s (grant 1024 KB, hello 2 KB), received 0 KB/s (grant 0 KB, hello 0 KB)"; got != want {
		t.Errorf("got %q, expected %q", got, want)
	}
	idle := wireUsage{3 * second, counts(1<<20+1000, 1<<20)}
	if got := idle.since(before); got != "" {
		t.Errorf("idle link logged %q", got)
	}
}
