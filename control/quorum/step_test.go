package quorum

import (
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// The old group goes only when a majority of the next supports the lease: two
// steps in one lease would else end at a majority that knows of no leader, and
// elects a second one beside it.
func TestTheNextGroupSupportsTheLeaseFirst(t *testing.T) {
	c := newCrowd(t, []string{"a", "b", "c"}, []string{"d"})
	c.wait(2 * time.Second)
	_, out, _ := c.others()
	c.wait(time.Second, c.learn("d"))
	c.lose = func(_ string, n message.Message) bool {
		return n.Kind == message.Support || n.Kind == message.Supported
	}
	c.replace(out, "d")
	c.run()
	for range 3 {
		c.learn("d")()
		c.run()
	}
	if _, s := c.leader(); len(s.Group().Next) == 0 {
		t.Errorf("the old group is gone at once, and nobody of the next supports the lease: %s", c.group())
	}
	c.lose = func(string, message.Message) bool { return false }
	c.wait(100*time.Millisecond+cfg.Beat, c.learn("d"))
	if _, s := c.leader(); len(s.Group().Next) > 0 || s.Group().Has(out) {
		t.Errorf("the step isn't finished a beat later: %s", c.group())
	}
}
