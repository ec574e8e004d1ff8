// Command mulleinmast is the daemon that runs on every machine of the fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
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

// Exit codes, as listed in the usage text.
const (
	exitStopped    = 0
	exitFailed     = 1
	exitBadConfig  = 2
	exitBadFolder  = 3
	exitBadAddress = 4
	exitSuperseded = 5 // the state on disk is superseded; a restarted daemon begins with empty state
)

// flushTimeout is how long the end of the process may wait for the reader of its log.
const flushTimeout = 200 * time.Millisecond

func main() {
	signals, output := catchSignals(), eventlog.NewOutput(os.Stderr)
	log.SetOutput(output) // the standard library's servers log there
	code := run(signals, output)
	output.Flush(flushTimeout)
	os.Exit(code)
}

func run(signals *signals, output *eventlog.Output) int {
	started := make(chan struct{})
	go signals.exitDuringStart(started, output)
	s, err := readSettings(os.Args[1:], output)
	if errors.Is(err, daemon.ErrHelp) {
		return exitStopped
	}
	if err != nil {
		_, _ = fmt.Fprintf(output, "mulleinmast: bad config:\n%v\n", err)
		return exitBadConfig
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := start(ctx, s, output)
	if err != nil {
		_, _ = fmt.Fprintf(output, "mulleinmast: %v\n", err)
		return exitCode(err)
	}
	close(started)
	go func() {
		p.stopWhenAsked(ctx, signals)
		cancel()
	}()
	if err := p.daemon.Run(ctx); err != nil {
		p.daemon.Events.Warn("stop", "failed", "error", err)
		return exitFailed
	}
	p.daemon.Events.Info("stop", "stopped")
	if p.daemon.WhySuperseded() != "" {
		return exitSuperseded
	}
	return exitStopped
}

// settings are the daemon's configuration and its source.
type settings struct {
	daemon.Config
	platform   platform.Settings
	onPlatform bool // the environment names the platform's settings file
	verbose    bool // print every entry of the event log
}

// readSettings reads the platform's settings file if the environment names one, and
// the flags otherwise.
func readSettings(args []string, output io.Writer) (s settings, err error) {
	s.platform, s.onPlatform, err = platform.Boot(os.Getenv, func(err error) {
		_, _ = fmt.Fprintf(output, "mulleinmast: waiting for the settings file: %v\n", err)
	})
	if !s.onPlatform {
		s.Config, err = daemon.ReadConfig("mulleinmast", args, output)
		return s, err
	}
	if err != nil {
		return s, err
	}
	s.Config = s.platform.Config()
	s.TestSwitches = slices.Contains(args, "-test-switches") // for tests only, never given by the real platform
	s.verbose = slices.Contains(args, "-say")
	return s, nil
}

// process is the daemon with its client-facing API and platform integration.
type process struct {
	daemon *daemon.Daemon
	api    *nativeapi.API
	host   *platform.Host // nil outside the platform
}

// start opens the daemon and attaches the native API and, on the platform, the host
// integration. The daemon itself does not run yet.
func start(ctx context.Context, s settings, output *eventlog.Output) (*process, error) {
	limitResources(s.Config)
	events := eventlog.New(s.EventLogSize, output)
	events.Verbose = s.verbose
	daemon.LogViolations(events)
	d, err := daemon.Open(s.Config, events)
	if err != nil {
		return nil, err
	}
	p := &process{daemon: d, api: nativeapi.New(ctx, d)}
	if s.onPlatform {
		if p.host, err = platform.Start(s.platform, d, nil); err != nil {
			return nil, err
		}
	}
	events.Info("start", "started", "fleet", s.Fleet, "zone", s.Zone, "wire", s.WireAddr, "web", s.HTTPAddr,
		"identity", d.Ident(), "seeds", s.Seeds)
	return p, nil
}

// limitResources applies the configured limits on cores and memory.
func limitResources(cfg daemon.Config) {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(cfg.Cores)
	}
	if cfg.MemoryLimit > 0 {
		debug.SetMemoryLimit(cfg.MemoryLimit)
	}
}

// stopWhenAsked waits for a reason to stop, then shuts down gracefully. A second
// interrupt ends the shutdown early.
func (p *process) stopWhenAsked(ctx context.Context, signals *signals) {
	p.awaitStop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals.abort
		cancel()
	}()
	if p.host != nil {
		p.host.Stop(ctx)
	} else {
		p.finishRequests(ctx)
	}
}

// awaitStop returns when a signal arrives or the daemon is superseded. Until then it
// reloads the platform's settings on request.
func (p *process) awaitStop(signals *signals) {
	for {
		select {
		case <-signals.stop:
			return
		case <-p.daemon.Superseded():
			return
		case <-signals.reload:
			if p.host != nil {
				p.host.Reload()
			}
		}
	}
}

// finishRequests keeps accepting requests until the readiness checks have seen that
// the daemon is not ready, then waits for the open streams and hands over its
// replicas. It gives up after the recovery bound.
func (p *process) finishRequests(ctx context.Context) {
	d := p.daemon
	d.Leave()
	limit := time.After(d.Cfg.Bounds.Recover)
	ticker := time.NewTicker(d.Cfg.VolumeLease() / 16)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-ticker.C:
		}
		if d.RefusesRequests() && p.api.InFlight() == 0 {
			d.HandOver(ctx)
			return
		}
	}
}

// exitCode returns the exit code for an error of the daemon's start.
func exitCode(err error) int {
	switch {
	case storage.Error.Has(err):
		return exitBadFolder
	case daemon.AddressError.Has(err):
		return exitBadAddress
	}
	return exitFailed
}
