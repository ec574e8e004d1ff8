package scene

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulleinmast/proof/standin/fleet"
	"mulleinmast/proof/standin/wire"
	"mulleinmast/wire/httpresponse"
)

// callDaemon calls a daemon without following redirects. Status 0 means no answer.
func callDaemon(ctx context.Context, m *fleet.Machine, method, path, match string, body []byte) (status int, to string, took time.Duration, got []byte) {
	web := httpresponse.NewClient(2 * time.Second)
	web.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.ControlAddr()+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", 0, nil
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	from := time.Now()
	res, err := web.Do(req)
	if err != nil {
		return 0, "", time.Since(from), nil
	}
	defer func() { _ = res.Body.Close() }()
	if got, err = io.ReadAll(res.Body); err != nil {
		return 0, "", time.Since(from), nil
	}
	return res.StatusCode, res.Header.Get("Location"), time.Since(from), got
}

// checkReads reads the configuration from a daemon until the context ends. No answer may be
// older than the version that was acknowledged before the read.
func (w *World) checkReads(ctx context.Context, m *fleet.Machine) {
	beat := time.NewTicker(10 * time.Millisecond)
	defer beat.Stop()
	for ctx.Err() == nil {
		floor := w.Op.Now().Version
		var c wire.Config
		if status, _, _, body := callDaemon(ctx, m, http.MethodGet, wire.ConfigPath, "", nil); status == http.StatusOK && json.Unmarshal(body, &c) == nil && c.Version < floor {
			w.Fail("%s returned version %d, but version %d was acknowledged before", m.Name, c.Version, floor)
		}
		<-beat.C
	}
}

// cutOff disconnects the configuration leader from the rest of the core, but not from the
// other daemons, clients, servers or the operator. Changes, an evacuation and reads
// continue. The old leader must neither confirm nor refuse a call nor answer a read with a
// configuration; it must answer within a second, with 503 or a redirect to another machine.
func cutOff(ctx context.Context, w *World) {
	m := w.Fleet.Leader(0)
	if m == nil {
		w.Fail("the configuration has no leader")
		return
	}
	old := w.Op.Now()
	with, end := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer end()
	wait.Go(func() { w.checkReads(with, m) })
	if err := w.Fleet.DisconnectCore(m); err != nil {
		w.Fail("%v", err)
		return
	}
	w.Until(ctx, w.Bounds.Recovery, "another leader", func() bool { return w.Fleet.LeaderExcept(0, m) != nil })
	w.addRoute(ctx, "as-soon")
	if c := w.addRoute(ctx, "while-cut"); c.Status != 200 {
		w.Fail("a change during the disconnection was answered %d", c.Status)
	}
	e := w.Op.Evacuate(ctx, Zones[1])
	stale, err := json.Marshal(wire.Change{Version: old.Version + 1})
	if err != nil {
		w.Fail("%v", err)
		return
	}
	calls, redirected, slowest := 0, 0, time.Duration(0)
	beat := time.NewTicker(20 * time.Millisecond)
	defer beat.Stop()
	for until := w.Log.Now() + 2*w.Bounds.InTouch; w.Log.Now() < until && ctx.Err() == nil; <-beat.C {
		for _, x := range []struct{ method, path, match string }{{"GET", wire.ConfigPath, ""}, {"PATCH", wire.ConfigPath, "1"}, {"POST", wire.EvacPath + Zones[1], ""}} {
			status, to, took, _ := callDaemon(ctx, m, x.method, x.path, x.match, stale)
			calls, slowest = calls+1, max(slowest, took)
			switch {
			case status == http.StatusTemporaryRedirect && strings.HasSuffix(to, x.path) && !strings.Contains(to, m.ControlAddr()):
				redirected++
			case status != http.StatusServiceUnavailable:
				w.Fail("the disconnected leader answered %s %s with %d %s", x.method, x.path, status, to)
			}
		}
	}
	w.Note("the disconnected leader got %d calls and redirected %d, the slowest in %v", calls, redirected, slowest.Round(time.Millisecond))
	if redirected == 0 || slowest > time.Second {
		w.Fail("the disconnected leader got %d calls and redirected %d, the slowest in %v", calls, redirected, slowest)
	}
	w.WaitServed(ctx, int(w.Rate))
	if err := w.Fleet.Reconnect(m); err != nil {
		w.Fail("%v", err)
	}
	w.Sleep(ctx, w.Bounds.InTouch)
	w.probe(ctx, "/while-cut/", true)
	if !w.Op.CancelEvacuation(ctx, e) {
		w.Fail("the return of the zone was not acknowledged")
	}
}
