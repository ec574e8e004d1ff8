// Command signalbox is the daemon that runs on every machine of the fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mulleinmast/control/archive"
	"mulleinmast/control/cabin"
	"mulleinmast/control/daybook"
	"mulleinmast/traffic/desk"
)

func main() { os.Exit(run()) }

func run() int {
	cfg, err := cabin.ReadConfig("signalbox", os.Args[1:], os.Stderr)
	if errors.Is(err, cabin.ErrHelp) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "signalbox: bad config:\n%v\n", err)
		return 2
	}
	book := daybook.New(cfg.Ring, os.Stderr)
	c, err := cabin.Open(cfg, book)
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "signalbox: %v\n", err)
		switch {
		case archive.Error.Has(err):
			return 3
		case cabin.InUse.Has(err):
			return 4
		}
		return 1
	}
	ctx, stop := context.WithCancel(context.Background())
	d := desk.New(ctx, c)
	book.Say("start", "fleet %s cell %s wire %s web %s identity %s", cfg.Fleet, cfg.Cell, cfg.Wire, cfg.Web, c.Ident())
	sig := make(chan os.Signal, 2)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-sig
		c.Leave()
		// Requests are taken until the platform has seen that we are not ready;
		// streams that have begun may end. A second signal cuts them off.
		limit := time.After(cfg.Bounds.Recover)
		for t := time.NewTicker(cfg.Vol() / 16); ; {
			select {
			case <-sig:
				stop()
				return
			case <-limit:
				stop()
				return
			case <-t.C:
				if c.Closed() && d.Open() == 0 {
					stop()
					return
				}
			}
		}
	}()
	if err := c.Run(ctx); err != nil {
		book.Trouble("stop", "%v", err)
		return 1
	}
	book.Say("stop", "stopped")
	return 0
}
