// Command mulleinctl is a shell for queries on the fleet's state, interactive or
// one-shot, as text or JSON.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/fleetconfig/openapi"
	"mulleinmast/control/incarnation"
	"mulleinmast/traffic/scheduler"
)

const usage = `members            who is in the fleet, where, and ready or not
partitions         each partition's leader, group and records
tree [PARTITION]   the lease tree of each partition: parent, children, time left
servers            every server: role, status, slots out, pairs
plan               the plan in force
versions           the plan's version in each daemon, and whether its leases stand
queue              each daemon's queues and shares
counts             requests served, refused and why, retries
why REQUEST|all    why a request went where it did
import FILE        named changes made of an OpenAPI file, ready to be sent
story [KIND]       what the fleet did, from the rings of all daemons, in order
help               this text
quit               leave the shell
`

type shell struct {
	to   []string
	asJS bool
	web  *http.Client
	out  io.Writer
}

func main() {
	s := &shell{web: &http.Client{Timeout: 5 * time.Second}, out: os.Stdout}
	to := flag.String("to", "127.0.0.1:8000", "web `address` of one daemon or of several, a,b,c")
	flag.BoolVar(&s.asJS, "json", false, "JSON instead of text")
	flag.Usage = func() {
		_, _ = fmt.Fprintf(os.Stderr, "usage: mulleinctl [-to ip:port,...] [-json] [QUERY]\n\nWithout a query it reads them from standard input. Exit codes: 0 answered, 1 no daemon answered, 2 bad query or flags.\n\n%s\n", usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	s.to = strings.Split(*to, ",")
	for _, a := range s.to {
		if _, err := netip.ParseAddrPort(a); err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "mulleinctl: -to %q: expected an IP address and port\n", a)
			os.Exit(2)
		}
	}
	if flag.NArg() > 0 {
		os.Exit(s.run(flag.Args()))
	}
	in := bufio.NewScanner(os.Stdin)
	for fmt.Fprint(os.Stderr, "mulleinctl> "); in.Scan(); fmt.Fprint(os.Stderr, "mulleinctl> ") {
		words := strings.Fields(in.Text())
		if len(words) == 0 {
			continue
		}
		if words[0] == "quit" || words[0] == "exit" {
			return
		}
		s.run(words)
	}
}

func (s *shell) get(addr, path string, to any) error {
	res, err := s.web.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != 200 {
		return fmt.Errorf("%s%s: %s", addr, path, strings.TrimSpace(string(b)))
	}
	return json.Unmarshal(b, to)
}

// first asks the given daemons until one answers.
func (s *shell) first() (daemon.State, error) {
	var last error
	for _, a := range s.to {
		var st daemon.State
		if last = s.get(a, "/v1/state", &st); last == nil {
			return st, nil
		}
	}
	return daemon.State{}, last
}

// each asks every member at once; silent ones come back with an error.
func each[T any](s *shell, path string) (map[string]T, map[string]error, error) {
	st, err := s.first()
	if err != nil {
		return nil, nil, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	got, bad := map[string]T{}, map[string]error{}
	for _, m := range st.Members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var v T
			err := s.get(m.HTTPAddr, path, &v)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				bad[m.HTTPAddr] = err
			} else {
				got[m.HTTPAddr] = v
			}
		}()
	}
	wg.Wait()
	return got, bad, nil
}

func keys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// show prints JSON as it is, or a table.
func (s *shell) show(v any, head string, rows [][]any) int {
	if s.asJS {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return s.bad(err)
		}
		_, _ = fmt.Fprintln(s.out, string(b))
		return 0
	}
	w := tabwriter.NewWriter(s.out, 2, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(head, " ", "\t"))
	for _, r := range rows {
		for i, c := range r {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, c)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
	return 0
}

func (s *shell) bad(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "mulleinctl:", err)
	return 1
}

func (s *shell) run(words []string) int {
	arg := ""
	if len(words) > 1 {
		arg = words[1]
	}
	switch words[0] {
	case "help":
		_, _ = fmt.Fprint(s.out, usage)
		return 0
	case "members":
		st, err := s.first()
		if err != nil {
			return s.bad(err)
		}
		var rows [][]any
		for _, m := range st.Members {
			rows = append(rows, []any{m.Ident, incarnation.String(m.Epoch), m.Zone, m.HTTPAddr, m.Addr, m.HasDisk, m.Ready})
		}
		return s.show(st.Members, "IDENT START ZONE WEB WIRE DISK READY", rows)
	case "plan":
		var p fleetconfig.Plan
		var err error
		for _, a := range s.to {
			if err = s.get(a, "/v1/plan", &p); err == nil {
				break
			}
		}
		if err != nil {
			return s.bad(err)
		}
		var rows [][]any
		for _, t := range p.Tenants {
			rows = append(rows, []any{p.Version, t.Name, t.Priority, t.TimeoutMillis, t.QueueFraction, strings.Join(t.Services, ",")})
		}
		return s.show(p, "VERSION TENANT PRIORITY TIMEOUT_MS QUEUE SERVICES", rows)
	case "partitions", "tree", "servers", "versions", "queue", "counts":
		return s.states(words[0], arg)
	case "why":
		if arg == "" {
			return s.wrong("why needs a request's id, or all")
		}
		return s.why(arg)
	case "import":
		return s.load(arg)
	case "story":
		return s.story(arg)
	}
	return s.wrong(fmt.Sprintf("no query %q; see help", words[0]))
}

func (s *shell) wrong(why string) int {
	_, _ = fmt.Fprintln(os.Stderr, "mulleinctl:", why)
	return 2
}

func (s *shell) states(what, arg string) int {
	got, bad, err := each[daemon.State](s, "/v1/state")
	if err != nil {
		return s.bad(err)
	}
	var rows [][]any
	head := ""
	for _, web := range keys(got) {
		st := got[web]
		switch what {
		case "versions":
			head = "DAEMON PLAN LEASES_STAND ZONES_OUT SUPERSEDED"
			rows = append(rows, []any{web, st.PlanVersion, st.PlanValid, strings.Join(st.ZonesOut, ","), st.Superseded})
		case "counts":
			head = "DAEMON COUNTS REFUSALS"
			rows = append(rows, []any{web, flat(st.Traffic["counts"]), flat(st.Traffic["sheds"])})
		case "queue":
			head = "DAEMON SERVICE QUEUE"
			q, _ := st.Traffic["queues"].(map[string]any)
			for _, svc := range keys(q) {
				rows = append(rows, []any{web, svc, flat(q[svc])})
			}
		default:
			for _, p := range st.Partitions {
				switch {
				case what == "partitions" && p.LedHere:
					head = "PARTITION LEADER TERM GROUP NEXT RECORDS"
					rows = append(rows, []any{p.Partition, web, p.Leader.Term, len(p.Group.Replicas), len(p.Group.Next), p.Records})
				case what == "servers":
					head = "SERVICE SERVER ZONE ROLE STATUS TO ACTIVE SLOTS OUT PAIRS"
					for _, r := range p.Servers {
						rows = append(rows, []any{r.Service, r.Addr, r.Zone, r.Role, r.Status, r.NextRole, r.Active, r.Slots, r.Granted, len(r.Pairs)})
					}
				case what == "tree" && (arg == "" || arg == fmt.Sprint(p.Partition)):
					head = "PARTITION DAEMON PARENT LEASE_MS RECORDS CHILDREN"
					up, kids := p.Lease.Parent.Addr, []string{}
					if p.Lease.Root {
						up = "(root)"
					}
					for _, k := range p.Lease.Children {
						mark := ""
						if k.Unreachable {
							mark = "!"
						}
						kids = append(kids, fmt.Sprintf("%s%s(%d)", k.Replica.Addr, mark, k.LeaseLeft))
					}
					rows = append(rows, []any{p.Partition, web, up, p.Lease.LeaseLeft, len(p.Lease.Records), strings.Join(kids, " ")})
				}
			}
		}
	}
	sort.SliceStable(rows, func(i, j int) bool { return fmt.Sprint(rows[i][0]) < fmt.Sprint(rows[j][0]) })
	for _, web := range keys(bad) {
		_, _ = fmt.Fprintf(os.Stderr, "silent: %s: %v\n", web, bad[web])
	}
	return s.show(got, head, rows)
}

func flat(v any) string {
	m, ok := v.(map[string]any)
	if !ok {
		return "-"
	}
	var out []string
	for _, k := range keys(m) {
		if f, ok := m[k].(float64); ok && f == 0 {
			continue
		}
		out = append(out, fmt.Sprintf("%s=%v", k, m[k]))
	}
	return strings.Join(out, " ")
}

func (s *shell) why(id string) int {
	got, _, err := each[[]scheduler.Story](s, "/v1/why/"+id)
	if err != nil {
		return s.bad(err)
	}
	var rows [][]any
	for _, web := range keys(got) {
		for _, st := range got[web] {
			var led []string
			for _, a := range st.Ledger {
				led = append(led, fmt.Sprintf("%s %s: %s %s", a.Phase, a.Server, a.Known, a.Why))
			}
			rows = append(rows, []any{st.Request, web, st.Result, st.Took, st.Why, strings.Join(append(st.Choice, led...), "; ")})
		}
	}
	if len(rows) == 0 {
		return s.wrong("no daemon knows request " + id)
	}
	return s.show(got, "REQUEST DAEMON RESULT MS WHY LEDGER", rows)
}

// load prints an OpenAPI file as named changes on the plan in force.
func (s *shell) load(path string) int {
	doc, err := os.ReadFile(path)
	if err != nil {
		return s.wrong(err.Error())
	}
	c, f := openapi.Read(doc)
	if f.Any() {
		return s.wrong(strings.Join(f.List, "\n"))
	}
	var p fleetconfig.Plan
	if err := s.get(s.to[0], "/v1/plan", &p); err != nil {
		return s.bad(err)
	}
	c.ID, c.Base = "change-me", p.Version
	b, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return s.bad(err)
	}
	_, _ = fmt.Fprintln(s.out, string(b))
	return 0
}

func (s *shell) story(kind string) int {
	type ring struct {
		Lines []eventlog.Entry `json:"lines"`
	}
	got, bad, err := each[ring](s, "/v1/ring")
	if err != nil {
		return s.bad(err)
	}
	type line struct {
		eventlog.Entry
		Daemon string `json:"daemon"`
	}
	var all []line
	for web, r := range got {
		for _, e := range r.Lines {
			if kind == "" || strings.Contains(e.Kind, kind) {
				all = append(all, line{e, web})
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Wall.Before(all[j].Wall) })
	var rows [][]any
	for _, l := range all {
		rows = append(rows, []any{l.Wall.Format("15:04:05.000"), l.Daemon, l.Kind, l.Text})
	}
	for _, web := range keys(bad) {
		_, _ = fmt.Fprintf(os.Stderr, "silent: %s: %v\n", web, bad[web])
	}
	return s.show(all, "TIME DAEMON KIND TEXT", rows)
}
