package cloud

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

type entry wire.Entry

func (e entry) Entry() wire.Entry { return wire.Entry(e) }

func get(t *testing.T, c *Cloud, query string) (int, wire.Page) {
	t.Helper()
	res, err := http.Get("http://" + c.ln.Addr().String() + wire.ListPath + query)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var p wire.Page
	b, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == 200 {
		err = json.Unmarshal(b, &p)
	}
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, p
}

func start(t *testing.T, c Config) (*Cloud, *record.Log) {
	t.Helper()
	c.Address = "127.0.0.1:0"
	log := record.New()
	s, err := Start(c, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.End)
	return s, log
}

// All pages of a listing show the snapshot of its first page.
func TestPages(t *testing.T) {
	c, _ := start(t, Config{PageSize: 2})
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		c.Put(id, entry{ID: id, Zone: map[string]string{"a": "north"}[id], State: wire.Ready})
	}
	got, query := "", ""
	for range 3 {
		_, p := get(t, c, query)
		for _, e := range p.Servers {
			got += e.ID
		}
		if p.Next == nil {
			break
		}
		query = "?page-token=" + *p.Next
		c.Remove("a") // must not affect the pages that follow
	}
	if got != "abcde" {
		t.Error(got)
	}
	if _, p := get(t, c, "?zone=north"); len(p.Servers) != 0 {
		t.Error(p)
	}
	if code, _ := get(t, c, "?page-token=p-99-0"); code != 400 {
		t.Error(code)
	}
}

// The list lags, and the record holds the time from which it shows a server as draining.
func TestLag(t *testing.T) {
	c, log := start(t, Config{PageSize: 9, Lag: 200 * time.Millisecond})
	l := &record.Life{ID: "a"}
	log.Do(func(a *record.All) { a.Lives = append(a.Lives, l) })
	c.Put("a", entry{ID: "a", State: wire.Ready})
	if _, p := get(t, c, ""); len(p.Servers) != 0 {
		t.Error("new server shown without lag")
	}
	for from := time.Now(); ; {
		if _, p := get(t, c, ""); len(p.Servers) == 1 {
			break
		}
		if time.Since(from) > 10*time.Second {
			t.Fatal("server not listed within 10 s")
		}
	}
	now := log.Now()
	c.Put("a", entry{ID: "a", State: wire.Draining})
	if l.DrainShown < now+c.Lag || l.DrainShown > log.Now()+c.Lag {
		t.Error(l.DrainShown, now)
	}
	if _, p := get(t, c, ""); p.Servers[0].State != wire.Ready {
		t.Error("draining shown without lag")
	}
}

func TestRate(t *testing.T) {
	c, _ := start(t, Config{PageSize: 9, Rate: 3})
	codes := map[int]int{}
	for range 5 {
		code, _ := get(t, c, "")
		codes[code]++
	}
	if calls, denied := c.Calls(); codes[200] != 3 || codes[429] != 2 || calls != 5 || denied != 2 {
		t.Error(codes, calls, denied)
	}
}
