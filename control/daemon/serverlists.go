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
	// pullRatio is the interval between two polls of the source, as a ratio to the bound in which
	// a leaving server stops receiving requests.
	pullRatio = pullShare
	// pullTimeouts is the ratio of the same bound to the timeout of a poll.
	pullTimeouts = 3
	// listSequenceBits is the number of bits of a list's version that count the lists of one term.
	listSequenceBits = 24
)

// ServerSource lists the model servers by service, for platforms whose list can be queried. The
// leader of the configuration polls the source and writes changed lists to the leaders of the
// services.
type ServerSource interface {
	// List returns the complete list; on an error all lists stay unchanged.
	List(ctx context.Context) (map[string][]fleetconfig.Server, error)
}

// listWriter writes the source's lists during one term of the configuration's leader. Only one
// poll runs at a time.
type listWriter struct {
	term      uint64
	sequence  uint64      // number of the last list written in the term
	termEnded func() bool // reports whether the term or its leader lease has ended; nil: never

	mu       sync.Mutex        // guards accepted
	accepted map[string][]byte // by service: the list that its leader accepted
}

func newListWriter(term uint64, termEnded func() bool) *listWriter {
	return &listWriter{term: term, termEnded: termEnded, accepted: map[string][]byte{}}
}

// isAccepted reports whether a service's leader has already accepted this list.
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

// nextVersion returns the version of the next list, above those of all earlier terms.
func (l *listWriter) nextVersion() uint64 {
	l.sequence++
	return l.term<<listSequenceBits + l.sequence
}

// runServerLists polls the source at a fixed interval while this daemon leads the configuration.
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

// pullServerLists polls the source once and writes each changed list to the leader of its service.
func (d *Daemon) pullServerLists(ctx context.Context, lists *listWriter) {
	timeout := d.Cfg.Bounds.Leave / pullTimeouts
	started := d.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	servers, err := d.ServerSource.List(ctx)
	if err != nil {
		d.Events.Debug("source", "listing the servers failed", "error", err)
		return
	}
	d.addEmptyServices(servers)
	var writes sync.WaitGroup
	defer writes.Wait()
	for _, service := range slices.Sorted(maps.Keys(servers)) {
		list := sortedList(servers[service])
		if faults := list.Validate(); faults.Any() || !fleetconfig.IsValidName(service) {
			d.Events.Debug("source", "ignoring an invalid list", "service", service, "faults", faults.List)
			continue
		}
		packed := leadercall.MustMarshal(list)
		if lists.isAccepted(service, packed) {
			continue
		}
		if lists.termEnded != nil && lists.termEnded() { // the next leader writes the remaining lists
			return
		}
		list.Version = lists.nextVersion()
		writes.Go(func() {
			call := leadercall.MustMarshal(leader.ServersCall{Service: service, List: list})
			status, _ := d.Call(ctx, d.Partition(service), leadercall.OpServers, call, timeout)
			if status != http.StatusOK {
				d.Events.Info("source", "writing a list of servers failed; will retry", "service", service, "status", status,
					"after", (d.Now() - started).Round(time.Millisecond))
				return
			}
			d.listDelay.Update((d.Now() - started).Seconds())
			lists.accept(service, packed)
		})
	}
}

// addEmptyServices adds an empty list for each service of the plan that the source doesn't name,
// because such a service no longer has servers. The plan can't be read while it is being written,
// which is nearly always the case during a series of changes. The removal of these services'
// servers is then delayed, but the other lists are still written.
func (d *Daemon) addEmptyServices(servers map[string][]fleetconfig.Server) {
	rec, ok := d.Read(0, fleetconfig.PlanKey)
	if !ok {
		return
	}
	for _, service := range d.plans.MustRead(rec).Services {
		if _, ok := servers[service.Name]; !ok {
			servers[service.Name] = nil
		}
	}
}

// sortedList returns a list with its servers sorted by key, so that equal lists have equal
// encodings.
func sortedList(servers []fleetconfig.Server) fleetconfig.List {
	slices.SortFunc(servers, func(a, b fleetconfig.Server) int { return strings.Compare(a.Key(), b.Key()) })
	return fleetconfig.List{Servers: servers}
}
