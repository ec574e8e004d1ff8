package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"mulleinmast/control/daemon"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/fleetconfig/openapi"
	"mulleinmast/control/incarnation"
	"mulleinmast/traffic/scheduler"
)

// query answers one query, which consists of a name and at most one argument, and
// returns the exit code.
func (s *shell) query(words []string) int {
	name, arg := words[0], ""
	if len(words) > 1 {
		arg = words[1]
	}
	switch name {
	case "help":
		_, _ = fmt.Fprint(s.out, usage)
		return exitAnswered
	case "members":
		return s.showMembers()
	case "plan":
		return s.showPlan()
	case "why":
		return s.explain(arg)
	case "import":
		return s.importFile(arg)
	case "story":
		return s.showEvents(arg)
	}
	if addRows, ok := stateQueries[name]; ok {
		return s.showStates(addRows, arg)
	}
	return failQuery(fmt.Sprintf("unknown query %q; see help", name))
}

func (s *shell) showMembers() int {
	state, err := getFirst[daemon.State](s, "/v1/state")
	if err != nil {
		return fail(err)
	}
	t := table{head: "IDENT START ZONE WEB WIRE DISK READY"}
	for _, m := range state.Members {
		t.add(m.Ident, incarnation.String(m.Epoch), m.Zone, m.HTTPAddr, m.Addr, m.HasDisk, m.Ready)
	}
	return s.show(state.Members, t)
}

func (s *shell) showPlan() int {
	plan, err := getFirst[fleetconfig.Plan](s, "/v1/plan")
	if err != nil {
		return fail(err)
	}
	out := table{head: "VERSION TENANT PRIORITY TIMEOUT_MS QUEUE SERVICES"}
	for _, t := range plan.Tenants {
		out.add(plan.Version, t.Name, t.Priority, t.TimeoutMillis, t.QueueFraction, strings.Join(t.Services, ","))
	}
	return s.show(plan, out)
}

// stateQueries maps the queries on the states of all daemons to functions that set the
// table's head and add the rows of one daemon; arg is the query's argument.
var stateQueries = map[string]func(t *table, addr string, state daemon.State, arg string){
	"versions":   addVersion,
	"counts":     addCounts,
	"queue":      addQueues,
	"partitions": addPartitions,
	"servers":    addServers,
	"tree":       addTree,
}

func (s *shell) showStates(addRows func(*table, string, daemon.State, string), arg string) int {
	states, err := getAll[daemon.State](s, "/v1/state")
	if err != nil {
		return fail(err)
	}
	var t table
	for _, addr := range sortedKeys(states.byAddr) {
		addRows(&t, addr, states.byAddr[addr], arg)
	}
	slices.SortStableFunc(t.rows, func(a, b []any) int { return strings.Compare(fmt.Sprint(a[0]), fmt.Sprint(b[0])) })
	states.reportErrors()
	return s.show(states.byAddr, t)
}

func addVersion(t *table, addr string, state daemon.State, _ string) {
	t.head = "DAEMON PLAN LEASES_STAND ZONES_OUT SUPERSEDED"
	t.add(addr, state.PlanVersion, state.PlanValid, strings.Join(state.ZonesOut, ","), state.Superseded)
}

func addCounts(t *table, addr string, state daemon.State, _ string) {
	t.head = "DAEMON COUNTS REFUSALS"
	t.add(addr, nonZero(state.Traffic["counts"]), nonZero(state.Traffic["sheds"]))
}

func addQueues(t *table, addr string, state daemon.State, _ string) {
	t.head = "DAEMON SERVICE QUEUE"
	queues, _ := state.Traffic["queues"].(map[string]any)
	for _, service := range sortedKeys(queues) {
		t.add(addr, service, nonZero(queues[service]))
	}
}

// addPartitions adds the partitions that the daemon leads.
func addPartitions(t *table, addr string, state daemon.State, _ string) {
	for _, p := range state.Partitions {
		if p.LedHere {
			t.head = "PARTITION LEADER TERM GROUP NEXT RECORDS"
			t.add(p.Partition, addr, p.Leader.Term, len(p.Group.Replicas), len(p.Group.Next), p.Records)
		}
	}
}

func addServers(t *table, _ string, state daemon.State, _ string) {
	for _, p := range state.Partitions {
		t.head = "SERVICE SERVER ZONE ROLE STATUS TO ACTIVE SLOTS OUT PAIRS"
		for _, r := range p.Servers {
			t.add(r.Service, r.Addr, r.Zone, r.Role, r.Status, r.NextRole, r.Active, r.Slots, r.Granted, len(r.Pairs))
		}
	}
}

// addTree adds the daemon's place in the lease tree of a partition, or in all lease trees
// if partition is empty.
func addTree(t *table, addr string, state daemon.State, partition string) {
	for _, p := range state.Partitions {
		if partition != "" && partition != fmt.Sprint(p.Partition) {
			continue
		}
		t.head = "PARTITION DAEMON PARENT LEASE_MS RECORDS CHILDREN"
		parent := p.Lease.Parent.Addr
		if p.Lease.Root {
			parent = "(root)"
		}
		children := []string{}
		for _, child := range p.Lease.Children {
			flag := ""
			if child.Unreachable {
				flag = "!"
			}
			children = append(children, fmt.Sprintf("%s%s(%d)", child.Replica.Addr, flag, child.LeaseLeft))
		}
		t.add(p.Partition, addr, parent, p.Lease.LeaseLeft, len(p.Lease.Records), strings.Join(children, " "))
	}
}

// nonZero formats the fields of a JSON object that are not 0.
func nonZero(v any) string {
	object, ok := v.(map[string]any)
	if !ok {
		return "-"
	}
	var fields []string
	for _, key := range sortedKeys(object) {
		if number, ok := object[key].(float64); ok && number == 0 {
			continue
		}
		fields = append(fields, fmt.Sprintf("%s=%v", key, object[key]))
	}
	return strings.Join(fields, " ")
}

// explain shows how and why a request was routed, or all recorded requests if id is "all".
func (s *shell) explain(id string) int {
	if id == "" {
		return failQuery("why: expected a request ID or \"all\"")
	}
	traces, err := getAll[[]scheduler.Trace](s, "/v1/why/"+id)
	if err != nil {
		return fail(err)
	}
	t := table{head: "REQUEST DAEMON RESULT MS WHY LEDGER"}
	for _, addr := range sortedKeys(traces.byAddr) {
		for _, trace := range traces.byAddr[addr] {
			var attempts []string
			for _, a := range trace.Attempts {
				attempts = append(attempts, fmt.Sprintf("%s %s: %s %s", a.Phase, a.Server, a.State, a.Why))
			}
			steps := strings.Join(append(trace.Picks, attempts...), "; ")
			t.add(trace.Request, addr, trace.Result, trace.TookMillis, trace.Reason, steps)
		}
	}
	if len(t.rows) == 0 {
		return failQuery("no daemon knows request " + id)
	}
	return s.show(traces.byAddr, t)
}

// importFile converts an OpenAPI file into named changes to the current plan and prints the
// changes.
func (s *shell) importFile(path string) int {
	document, err := os.ReadFile(path)
	if err != nil {
		return failQuery(err.Error())
	}
	changes, faults := openapi.Read(document)
	if faults.Any() {
		return failQuery(strings.Join(faults.List, "\n"))
	}
	var plan fleetconfig.Plan
	if err := s.get(s.daemons[0], "/v1/plan", &plan); err != nil {
		return fail(err)
	}
	changes.ID, changes.Base = "change-me", plan.Version
	return s.showJSON(changes)
}

// showEvents prints the event logs of all daemons, ordered by wall time. If kind is
// not empty, only events whose kind contains it are shown.
func (s *shell) showEvents(kind string) int {
	logs, err := getAll[daemon.EventsResponse](s, "/v1/ring")
	if err != nil {
		return fail(err)
	}
	type event struct {
		eventlog.Entry
		Daemon string `json:"daemon"`
	}
	var events []event
	for _, addr := range sortedKeys(logs.byAddr) {
		for _, entry := range logs.byAddr[addr].Entries {
			if kind == "" || strings.Contains(entry.Kind, kind) {
				events = append(events, event{entry, addr})
			}
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.Wall.Compare(b.Wall) })
	t := table{head: "TIME DAEMON KIND TEXT"}
	for _, e := range events {
		t.add(e.Wall.Format("15:04:05.000"), e.Daemon, e.Kind, e.Text)
	}
	logs.reportErrors()
	return s.show(events, t)
}
