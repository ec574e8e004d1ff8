package daemon

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"mulleinmast/control/leadercall"
)

// switches adds the calls by which tests bring failures about; they are open only
// where the configuration says so.
func (c *Daemon) switches(m *http.ServeMux) {
	m.HandleFunc("POST /test/cut", func(w http.ResponseWriter, r *http.Request) { switchAddresses(w, r, &c.Transport.DropPeers) })
	m.HandleFunc("POST /test/deaf", func(w http.ResponseWriter, r *http.Request) { switchAddresses(w, r, &c.Transport.DropSenders) })
	m.HandleFunc("POST /test/slow", func(w http.ResponseWriter, r *http.Request) { switchTime(w, r, &c.Transport.MaxDelay) })
	m.HandleFunc("POST /test/stall", func(w http.ResponseWriter, r *http.Request) { switchTime(w, r, &c.stall) })
	m.HandleFunc("POST /test/leap", c.leap)
	m.HandleFunc("POST /test/full", c.full)
}

func turnedDown(w http.ResponseWriter, fault string) {
	Respond(w, http.StatusBadRequest, leadercall.Response{Result: "broken", Faults: []string{fault}})
}

// switchAddresses sets the addresses that something befalls.
func switchAddresses(w http.ResponseWriter, r *http.Request, to *atomic.Pointer[map[string]bool]) {
	var list []string
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		turnedDown(w, err.Error())
		return
	}
	named := map[string]bool{}
	for _, a := range list {
		named[a] = true
	}
	to.Store(&named)
	Respond(w, http.StatusOK, leadercall.Response{Result: "done"})
}

// switchTime sets how long something takes more.
func switchTime(w http.ResponseWriter, r *http.Request, to *atomic.Int64) {
	d, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || d < 0 {
		turnedDown(w, "for: expected a length of time, such as 300ms")
		return
	}
	to.Store(int64(d))
	Respond(w, http.StatusOK, leadercall.Response{Result: "done"})
}

// leap has the clock go on as after a suspend, and tells what is still served, led
// or held the moment after, if anything.
func (c *Daemon) leap(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.URL.Query().Get("by"))
	if err != nil || d < 0 {
		turnedDown(w, "by: expected a length of time, such as 30s")
		return
	}
	c.clock.Leap(d)
	st := c.State()
	held := 0
	for _, p := range st.Partitions {
		if p.LedHere || p.Lease.LeaseLeft > 0 {
			held++
		}
	}
	Respond(w, http.StatusOK, map[string]any{"result": "done", "parts_still_held": held, "plan_still_valid": st.PlanValid})
}

// full has the disk take no more bytes, or again.
func (c *Daemon) full(w http.ResponseWriter, r *http.Request) {
	if c.arch == nil {
		turnedDown(w, "no data folder here")
		return
	}
	if err := c.arch.SetFull(r.URL.Query().Get("on") == "1"); err != nil {
		Respond(w, http.StatusInternalServerError, leadercall.Response{Result: "not done", Reason: err.Error()})
		return
	}
	Respond(w, http.StatusOK, leadercall.Response{Result: "done"})
}
