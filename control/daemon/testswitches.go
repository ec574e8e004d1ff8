package daemon

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"mulleinmast/control/leadercall"
)

// registerTestSwitches registers the fault injection endpoints for tests; the configuration must
// enable them.
func (d *Daemon) registerTestSwitches() {
	m := d.Mux
	m.HandleFunc("POST /test/cut", addressSwitch(&d.Transport.DropPeers))
	m.HandleFunc("POST /test/deaf", addressSwitch(&d.Transport.DropSenders))
	m.HandleFunc("POST /test/slow", delaySwitch(&d.Transport.MaxDelay))
	m.HandleFunc("POST /test/stall", delaySwitch(&d.disk.delay))
	m.HandleFunc("POST /test/leap", d.handleLeap)
	m.HandleFunc("POST /test/full", d.handleFullDisk)
}

// addressSwitch sets the addresses that a fault applies to; the request body lists them.
func addressSwitch(to *atomic.Pointer[map[string]bool]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var list []string
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			respondFaults(w, http.StatusBadRequest, err.Error())
			return
		}
		addrs := map[string]bool{}
		for _, addr := range list {
			addrs[addr] = true
		}
		to.Store(&addrs)
		Respond(w, http.StatusOK, leadercall.Response{Result: leadercall.ResultDone})
	}
}

// delaySwitch sets an additional delay.
func delaySwitch(to *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		delay, err := time.ParseDuration(r.URL.Query().Get("for"))
		if err != nil || delay < 0 {
			respondFaults(w, http.StatusBadRequest, "for: expected a length of time, such as 300ms")
			return
		}
		to.Store(int64(delay))
		Respond(w, http.StatusOK, leadercall.Response{Result: leadercall.ResultDone})
	}
}

// leapResponse is the state just after the clock was advanced: the number of partitions that this
// daemon still leads or has a lease on, and whether the plan is still valid.
type leapResponse struct {
	PartitionsHeld int    `json:"parts_still_held"`
	PlanValid      bool   `json:"plan_still_valid"`
	Result         string `json:"result"`
}

// handleLeap advances the clock as a suspend of the machine does.
func (d *Daemon) handleLeap(w http.ResponseWriter, r *http.Request) {
	by, err := time.ParseDuration(r.URL.Query().Get("by"))
	if err != nil || by < 0 {
		respondFaults(w, http.StatusBadRequest, "by: expected a length of time, such as 30s")
		return
	}
	d.clock.Advance(by)
	state := d.State()
	response := leapResponse{Result: leadercall.ResultDone, PlanValid: state.PlanValid}
	for _, p := range state.Partitions {
		if p.LedHere || p.Lease.LeaseLeft > 0 {
			response.PartitionsHeld++
		}
	}
	Respond(w, http.StatusOK, response)
}

// handleFullDisk makes the disk reject writes as if it were full, or accept them again.
func (d *Daemon) handleFullDisk(w http.ResponseWriter, r *http.Request) {
	if d.store == nil {
		respondFaults(w, http.StatusBadRequest, "no data folder here")
		return
	}
	if err := d.store.SetFull(r.URL.Query().Get("on") == "1"); err != nil {
		Respond(w, http.StatusInternalServerError, leadercall.Response{Result: leadercall.ResultNotDone, Reason: err.Error()})
		return
	}
	Respond(w, http.StatusOK, leadercall.Response{Result: leadercall.ResultDone})
}
