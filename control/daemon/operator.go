package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"

	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// maxBody is the maximum size of the body of an operator's call, in bytes.
const maxBody = 16 << 20

// notReadyRetryMillis is the retry delay suggested to clients while the daemon isn't ready.
const notReadyRetryMillis = 1000

// registerOperatorCalls registers the routes for operators and the platform.
func (d *Daemon) registerOperatorCalls() {
	m := d.Mux
	m.HandleFunc("GET /livez", d.handleLive)
	m.HandleFunc("GET /readyz", d.handleReady)
	m.HandleFunc("GET /v1/plan/template", d.handlePlanTemplate)
	m.HandleFunc("GET /v1/plan", d.handleGetPlan)
	m.HandleFunc("PUT /v1/plan", d.handlePutPlan)
	m.HandleFunc("POST /v1/plan/changes", d.handlePlanChanges)
	m.HandleFunc("POST /v1/zones/{zone}/{op}", d.handleZone)
	m.HandleFunc("POST /v1/replicas", d.handleMoveReplica)
	m.HandleFunc("POST /v1/cells/{zone}/{op}", d.handleZone) // used by older operator scripts
	m.HandleFunc("POST /v1/seats", d.handleMoveReplica)
	m.HandleFunc("PUT /v1/services/{service}/servers", d.handlePutServers)
	m.HandleFunc("GET /v1/services/{service}/servers", d.handleGetServers)
	m.HandleFunc("GET /v1/state", d.handleState)
	m.HandleFunc("GET /v1/ring", d.handleEvents)
	if d.store != nil {
		m.HandleFunc("POST /v1/backup", d.handleBackup)
	}
	if d.Cfg.TestSwitches {
		d.registerTestSwitches()
	}
}

func (d *Daemon) handleLive(w http.ResponseWriter, _ *http.Request) {
	Respond(w, http.StatusOK, leadercall.Response{Result: resultLive})
}

func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		Respond(w, http.StatusServiceUnavailable, leadercall.Response{
			Result:           resultNotReady,
			Reason:           d.whyNotReady(),
			RetryAfterMillis: notReadyRetryMillis,
		})
		return
	}
	id, version, _ := d.Plan()
	Respond(w, http.StatusOK, leadercall.Response{Result: resultReady, Plan: id, Version: version})
}

func (d *Daemon) handlePlanTemplate(w http.ResponseWriter, _ *http.Request) {
	Respond(w, http.StatusOK, fleetconfig.Template())
}

func (d *Daemon) handleGetPlan(w http.ResponseWriter, r *http.Request) {
	rec, ok := d.awaitForCall(r, 0, fleetconfig.PlanKey)
	if !ok {
		d.respondUnknown(w, "no valid lease on the plan")
		return
	}
	Respond(w, http.StatusOK, d.plans.MustRead(rec))
}

func (d *Daemon) handlePutPlan(w http.ResponseWriter, r *http.Request) {
	if body, ok := ReadBody(w, r, maxBody); ok {
		d.forwardCall(w, r, 0, leadercall.OpPlan, body)
	}
}

func (d *Daemon) handlePlanChanges(w http.ResponseWriter, r *http.Request) {
	if body, ok := ReadBody(w, r, maxBody); ok {
		d.forwardCall(w, r, 0, leadercall.OpChanges, body)
	}
}

// handleZone takes a zone out of service or returns it to service.
func (d *Daemon) handleZone(w http.ResponseWriter, r *http.Request) {
	op, zone := r.PathValue("op"), r.PathValue("zone")
	if op != leadercall.OpEvacuate && op != leadercall.OpReturn || !fleetconfig.IsValidName(zone) {
		respondFaults(w, http.StatusNotFound,
			fmt.Sprintf("zone %q, op %q: expected a zone's name and evacuate or return", zone, op))
		return
	}
	if !d.hasDaemonIn(zone) { // not an error: the zone may have servers but no daemon
		w.Header().Set("Warning", fmt.Sprintf("299 - \"no daemon of the fleet is in zone %s\"", zone))
	}
	if _, ok := ReadBody(w, r, maxBody); ok {
		d.forwardOrder(w, r, 0, op, []byte(zone))
	}
}

func (d *Daemon) hasDaemonIn(zone string) bool {
	for range d.View().MembersIn(zone) {
		return true
	}
	return false
}

// handleMoveReplica moves a replica to another control daemon.
func (d *Daemon) handleMoveReplica(w http.ResponseWriter, r *http.Request) {
	body, ok := ReadBody(w, r, maxBody)
	if !ok {
		return
	}
	var call leader.ReplicaCall
	faults := fleetconfig.Decode(body, &call)
	if _, err := netip.ParseAddrPort(call.Addr); err != nil || call.Ident == "" || call.Out == "" {
		faults.Add("expected out (an identity), ident and addr (ip:port)")
	}
	if faults.Any() {
		respondFaults(w, http.StatusBadRequest, faults.List...)
		return
	}
	d.forwardOrder(w, r, 0, leadercall.OpReplica, leadercall.MustMarshal(call))
}

// handlePutServers replaces the list of a service's servers.
func (d *Daemon) handlePutServers(w http.ResponseWriter, r *http.Request) {
	body, ok := ReadBody(w, r, maxBody)
	if !ok {
		return
	}
	service := r.PathValue("service")
	var list fleetconfig.List
	faults := fleetconfig.Decode(body, &list)
	if !fleetconfig.IsValidName(service) {
		faults.Add("service: %q: expected 1 to 64 letters, digits, '.', '_' or '-'", service)
	}
	faults.List = append(faults.List, list.Validate().List...)
	if faults.Any() {
		respondFaults(w, http.StatusBadRequest, faults.List...)
		return
	}
	forward := d.forwardOrder
	if list.Version > 0 {
		forward = d.forwardCall
	}
	call := leader.ServersCall{Service: service, List: list}
	forward(w, r, d.Partition(service), leadercall.OpServers, leadercall.MustMarshal(call))
}

func (d *Daemon) handleGetServers(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	if !fleetconfig.IsValidName(service) {
		respondFaults(w, http.StatusNotFound, "no such service")
		return
	}
	rec, ok := d.awaitForCall(r, d.Partition(service), fleetconfig.ListKey(service))
	switch {
	case !ok:
		d.respondUnknown(w, "")
	case rec.Deleted:
		Respond(w, http.StatusNotFound, leadercall.Response{Result: resultUnknown, Reason: "no list for service " + service})
	default:
		Respond(w, http.StatusOK, rec.Value)
	}
}

func (d *Daemon) handleState(w http.ResponseWriter, _ *http.Request) {
	Respond(w, http.StatusOK, d.State())
}

// EventsResponse is an excerpt of the daemon's event log.
type EventsResponse struct {
	Addr    string           `json:"addr"` // the daemon's HTTP address
	Ident   string           `json:"ident"`
	Entries []eventlog.Entry `json:"lines"`
}

func (d *Daemon) handleEvents(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	number, err := strconv.ParseUint(since, 10, 64)
	if err != nil && since != "" {
		respondFaults(w, http.StatusBadRequest, fmt.Sprintf("since: %q: expected a line's number", since))
		return
	}
	Respond(w, http.StatusOK, EventsResponse{Addr: d.Cfg.HTTPAddr, Ident: d.self.Ident, Entries: d.Events.Since(number)})
}

func (d *Daemon) handleBackup(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Query().Get("to")
	if !filepath.IsAbs(path) {
		respondFaults(w, http.StatusBadRequest,
			fmt.Sprintf("to: %q: expected the full path of a file that isn't there yet", path))
		return
	}
	if err := d.store.Backup(path); err != nil {
		Respond(w, http.StatusBadRequest, leadercall.Response{Result: leadercall.ResultNotDone, Reason: err.Error()})
		return
	}
	d.Events.Debug("disk", "backed up", "path", path)
	Respond(w, http.StatusOK, leadercall.Response{Result: leadercall.ResultDone})
}

// awaitForCall waits for a record for at most the time that a read-only call may take.
func (d *Daemon) awaitForCall(r *http.Request, partition int, key string) (message.Record, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), d.Cfg.Bounds.Plan)
	defer cancel()
	return d.AwaitRecord(ctx, partition, key)
}

// respondUnknown responds to a call for a record that can't be read at present.
func (d *Daemon) respondUnknown(w http.ResponseWriter, reason string) {
	Respond(w, http.StatusServiceUnavailable, leadercall.Response{
		Result:           resultUnknown,
		Reason:           reason,
		RetryAfterMillis: d.Cfg.Bounds.Plan.Milliseconds(),
	})
}

// forwardCall forwards an operator's call to a partition's leader and responds with the result.
func (d *Daemon) forwardCall(w http.ResponseWriter, r *http.Request, partition int, op string, body []byte) {
	d.forwardWithin(w, r, partition, op, body, d.callTimeout())
}

// forwardOrder is forwardCall for calls without an ID or a version; it drops an order whose caller has given up.
func (d *Daemon) forwardOrder(w http.ResponseWriter, r *http.Request, partition int, op string, body []byte) {
	left := AwaitCaller(r, d.callTimeout())
	if left == 0 {
		response := leadercall.Response{Result: leadercall.ResultNotDone, Reason: "the caller has given up"}
		Respond(w, http.StatusServiceUnavailable, response)
		return
	}
	d.forwardWithin(w, r, partition, op, body, left)
}

// callTimeout returns how long an operator's call may take.
func (d *Daemon) callTimeout() time.Duration { return 2 * d.Cfg.Bounds.Plan }

// forwardWithin forwards a call to a partition's leader and responds with the result that comes within a timeout.
func (d *Daemon) forwardWithin(
	w http.ResponseWriter, r *http.Request, partition int, op string, body []byte, timeout time.Duration,
) {
	status, response := d.Call(r.Context(), partition, op, body, timeout)
	d.Events.Debug("call", op, "status", status)
	Respond(w, status, response)
}
