// Command fakeserver runs a fake model server for tests and trials.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"mulleinmast/proof/fakeserver"
	"mulleinmast/proof/history"
)

func main() {
	c := fakeserver.Config{}
	flag.StringVar(&c.Addr, "addr", "127.0.0.1:9000", "`ip:port` to listen on")
	flag.StringVar(&c.Zone, "zone", "zone-1", "`name` of the server's zone")
	flag.IntVar(&c.Capacity, "capacity", 8, "slots")
	flag.DurationVar(&c.PrefillTimePerChar, "char", 20*time.Microsecond, "prefill `time` per character")
	flag.DurationVar(&c.DecodeTimePerPiece, "token", 5*time.Millisecond, "decode `time` per piece of output")
	flag.DurationVar(&c.HandleLifetime, "keep", 20*time.Second, "`time` that a KV handle is valid")
	flag.DurationVar(&c.TransferTime, "link", 2*time.Millisecond, "`time` to transfer a KV cache from another server")
	flag.IntVar(&c.Prefixes, "prefixes", 512, "number of prompt prefixes kept in the cache")
	flag.DurationVar(&c.Warm, "warm", 2*time.Second, "warm-up `time` of the server")
	flag.BoolVar(&c.Naive, "naive", false, "as a decode server, accept any KV cache that a handle refers to")
	path := flag.String("journal", "", "journal `file`")
	flag.Parse()
	if _, err := netip.ParseAddrPort(c.Addr); err != nil || c.Capacity < 1 {
		_, _ = fmt.Fprintf(os.Stderr, "fakeserver: -addr %q, -capacity %d: expected an IP address and port, and at least one slot\n", c.Addr, c.Capacity)
		os.Exit(2)
	}
	recorder, err := history.Open(*path)
	if err == nil {
		srv := &http.Server{Addr: c.Addr, Handler: fakeserver.New(c, recorder), IdleTimeout: 5 * time.Minute, ReadHeaderTimeout: 10 * time.Second}
		err = srv.ListenAndServe()
	}
	_, _ = fmt.Fprintln(os.Stderr, "fakeserver:", err)
	os.Exit(1)
}
