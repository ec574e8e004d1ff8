// Command mulleinmast is the daemon that runs on every machine of the fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/storage"
	"mulleinmast/platform"
	"mulleinmast/traffic/nativeapi"
)

func main() { os.Exit(run()) }

func run() int {
	orders, started := catch(), make(chan struct{})
	go orders.endDuringStart(started)
	boot, ours, err := platform.Boot(os.Getenv)
	var cfg daemon.Config
	if ours && err == nil {
		cfg = boot.Config()
		cfg.TestSwitches = slices.Contains(os.Args[1:], "-test-switches") // never so on the platform
	} else if !ours {
		cfg, err = daemon.ReadConfig("mulleinmast", os.Args[1:], os.Stderr)
	}
	if errors.Is(err, daemon.ErrHelp) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "mulleinmast: bad config:\n%v\n", err)
		return 2
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(cfg.Cores)
	}
	if cfg.MemoryLimit > 0 {
		debug.SetMemoryLimit(cfg.MemoryLimit)
	}
	events := eventlog.New(cfg.EventLogSize, os.Stderr)
	daemon.LogViolations(events)
	events.Verbose = ours && slices.Contains(os.Args[1:], "-say") // every line is written out at once
	c, err := daemon.Open(cfg, events)
	if err != nil {
		return fail(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d := nativeapi.New(ctx, c)
	// The servers' list and the front of the platform are hooked in here.
	var host *platform.Host
	if ours {
		if host, err = platform.Start(boot, c, nil); err != nil {
			return fail(err)
		}
	}
	events.Info("start", "started", "fleet", cfg.Fleet, "zone", cfg.Zone, "wire", cfg.WireAddr, "web", cfg.HTTPAddr,
		"identity", c.Ident(), "seeds", cfg.Seeds)
	close(started)
	go func() {
		leave, cut := context.WithCancel(ctx)
		defer cut()
		follow(orders, host, c.Superseded())
		go func() {
			<-orders.hurry
			cut()
		}()
		if host != nil {
			host.Stop(leave)
		} else {
			finish(leave, c, d)
		}
		stop()
	}()
	if err := c.Run(ctx); err != nil {
		events.Warn("stop", "failed", "error", err)
		return 1
	}
	events.Info("stop", "stopped")
	if c.WhySuperseded() != "" {
		return exitSuperseded
	}
	return 0
}

// exitSuperseded is the exit code of a daemon whose state is superseded: started
// again it begins empty.
const exitSuperseded = 5

// follow has the settings read anew when they have changed, and returns when the
// process is to end.
func follow(orders *signals, host *platform.Host, superseded <-chan struct{}) {
	for {
		select {
		case <-orders.stop:
			return
		case <-superseded:
			return
		case <-orders.reload:
			if host != nil {
				host.Reload()
			}
		}
	}
}

func fail(err error) int {
	_, _ = fmt.Fprintf(os.Stderr, "mulleinmast: %v\n", err)
	switch {
	case storage.Error.Has(err):
		return 3
	case daemon.AddressError.Has(err):
		return 4
	}
	return 1
}

// finish takes requests until those who check have seen that we are not ready,
// and waits for the streams that have begun.
func finish(ctx context.Context, c *daemon.Daemon, d *nativeapi.API) {
	c.Leave()
	limit := time.After(c.Cfg.Bounds.Recover)
	t := time.NewTicker(c.Cfg.VolumeLease() / 16)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-t.C:
			if c.RefusesRequests() && d.Open() == 0 {
				c.HandOver(ctx)
				return
			}
		}
	}
}
