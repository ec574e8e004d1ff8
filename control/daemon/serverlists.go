package daemon

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
)

const (
	// pullRatio is the interval between two looks at the source, to the bound in
	// which a leaving server gets no more work.
	pullRatio = pullShare
	// pullTimeouts is how many timeouts of a pull fit into that bound.
	pullTimeouts = 3
	// listSequenceBits is how many lists one term may number, as a power of two.
	listSequenceBits = 24
)

// ServerSource names the servers by service. Where the platform keeps a list to be
// asked for, the leader of the configuration asks, and writes what changed to the
// leaders of the services.
type ServerSource interface {
	// List asks for the whole list; an error leaves everything as it is.
	List(ctx context.Context) (map[string][]fleetconfig.Server, error)
}

// listWriter writes the source's lists under one term of the configuration's leader.
// One pull runs at a time.
type listWriter struct {
	term     uint64
	sequence uint64      // of the lists written under the term
	isOver   func() bool // the term has ended, or its leader lease; nil: never

	mu       sync.Mutex        // guards accepted
	accepted map[string][]byte // by service: the list as its leader took it
}

func newListWriter(term uint64, isOver func() bool) *listWriter {
	return &listWriter{term: term, isOver: isOver, accepted: map[string][]byte{}}
}

// isAccepted reports whether a service's leader has a list already.
func (l *listWriter) isAccepted(service string, packed []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted[service] != nil && bytes.Equal(packed, l.accepted[service])
}

func (l *listWriter) accept(service string, packed []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted[service] = packed
}

// nextVersion numbers a list above all of earlier terms.
func (l *listWriter) nextVersion() uint64 {
	l.sequence++
	return l.term<<listSequenceBits + l.sequence
}

// runServerLists asks the source at a steady pace while this daemon leads the
// configuration.
func (d *Daemon) runServerLists(ctx context.Context) error {
	ticker := time.NewTicker(fraction(d.Cfg.Bounds.Leave, pullRatio))
	defer ticker.Stop()
	lists := newListWriter(0, nil)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		term := d.termLed(0)
		if term == 0 {
			continue
		}
		if lists.term != term {
			lists = newListWriter(term, func() bool { return d.termLed(0) != term })
		}
		d.pullServerLists(ctx, lists)
	}
}

// pullServerLists asks the source once and writes what changed, each list to the
// leader of its service.
func (d *Daemon) pullServerLists(ctx context.Context, lists *listWriter) {
	timeout := d.Cfg.Bounds.Leave / pullTimeouts
	begun := d.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	servers, err := d.ServerSource.List(ctx)
	if err != nil {
		d.Events.Debug("source", "no list", "error", err)
		return
	}
	d.addEmptyServices(servers)
	var writes sync.WaitGroup
	defer writes.Wait()
	for _, service := range slices.Sorted(maps.Keys(servers)) {
		list := sortedList(servers[service])
		if faults := list.Validate(); faults.Any() || !fleetconfig.IsValidName(service) {
			d.Events.Debug("source", "a list is not taken", "service", service, "faults", faults.List)
			continue
		}
		packed := leadercall.Pack(list)
		if lists.isAccepted(service, packed) {
			continue
		}
		if lists.isOver != nil && lists.isOver() { // the rest is for the next leader
			return
		}
		list.Version = lists.nextVersion()
		writes.Go(func() {
			call := leadercall.Pack(leader.ServersCall{Service: service, List: list})
			status, _ := d.Call(ctx, d.Partition(service), leadercall.OpServers, call, timeout)
			if status != http.StatusOK {
				d.Events.Info("source", "a list of servers is not written yet", "service", service, "status", status,
					"after", (d.Now() - begun).Round(time.Millisecond))
				return
			}
			d.listDelay.Update((d.Now() - begun).Seconds())
			lists.accept(service, packed)
		})
	}
}

// addEmptyServices adds the plan's services that the source doesn't name: they have
// no server any more. While a plan is being written, which in a row of changes is
// nearly always, it can't be read: these services wait for it, the lists don't.
func (d *Daemon) addEmptyServices(servers map[string][]fleetconfig.Server) {
	rec, ok := d.Read(0, fleetconfig.PlanKey)
	if !ok {
		return
	}
	for _, service := range d.plans.Open(rec).Services {
		if _, ok := servers[service.Name]; !ok {
			servers[service.Name] = nil
		}
	}
}

// sortedList is a list with its servers in the order of their keys, so that like
// lists are packed alike.
func sortedList(servers []fleetconfig.Server) fleetconfig.List {
	slices.SortFunc(servers, func(a, b fleetconfig.Server) int { return strings.Compare(a.Key(), b.Key()) })
	return fleetconfig.List{Servers: servers}
}
