// Command loadgen is the stand-in client: load, and the check of journals.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"mulleinmast/proof/history"
	"mulleinmast/proof/judge"
	"mulleinmast/proof/load"
)

func main() {
	c := load.Config{}
	to := flag.String("targets", "127.0.0.1:8000", "daemons' web addresses, `a,b,c`")
	flag.StringVar(&c.Mix, "mix", "rangsit", "rangsit or pat")
	flag.Float64Var(&c.Rate, "rate", 20, "requests a second")
	flag.DurationVar(&c.For, "for", 10*time.Second, "how long")
	flag.IntVar(&c.Most, "most", 100000, "requests in all, at most")
	flag.Int64Var(&c.Seed, "seed", 1, "seed")
	flag.DurationVar(&c.Timeout, "timeout", 10*time.Second, "timeout of a request")
	flag.Float64Var(&c.Once, "once", 0.3, "part of the requests with a once key")
	flag.BoolVar(&c.Again, "again", false, "send each once key to a second daemon too")
	flag.Float64Var(&c.Swing, "swing", -1, "part of long prompts (below 0: the mix's own)")
	path := flag.String("journal", "loadgen.jsonl", "journal `file`")
	check := flag.Bool("check", false, "judge the journals named as arguments instead of sending")
	flag.Parse()
	if *check {
		os.Exit(verdict(flag.Args()))
	}
	if _, ok := load.Mixes[c.Mix]; !ok {
		_, _ = fmt.Fprintf(os.Stderr, "loadgen: -mix %q: expected rangsit or pat\n", c.Mix)
		os.Exit(2)
	}
	c.Targets = strings.Split(*to, ",")
	var faults []string
	for _, a := range c.Targets {
		if _, err := netip.ParseAddrPort(a); err != nil {
			faults = append(faults, fmt.Sprintf("-targets: %q: expected an IP address and port", a))
		}
	}
	if c.Rate <= 0 {
		faults = append(faults, fmt.Sprintf("-rate %v: expected more than 0", c.Rate))
	}
	if c.Once < 0 || c.Once > 1 {
		faults = append(faults, fmt.Sprintf("-once %v: expected 0 to 1", c.Once))
	}
	if c.Timeout <= 0 || c.Most < 1 {
		faults = append(faults, "-timeout and -most: expected more than 0")
	}
	if len(faults) > 0 {
		_, _ = fmt.Fprintln(os.Stderr, "loadgen: "+strings.Join(faults, "\nloadgen: "))
		os.Exit(2)
	}
	recorder, err := history.Open(*path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(2)
	}
	load.Run(context.Background(), c, recorder)
	ev, err := history.Read(*path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
	fmt.Print(load.Sum(ev))
}

func verdict(paths []string) int {
	var all []history.Event
	for _, p := range paths {
		ev, err := history.Read(p)
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "loadgen:", err)
			return 2
		}
		all = append(all, ev...)
	}
	rows := judge.All(all, judge.Default())
	for _, b := range rows {
		fmt.Println(b)
	}
	fmt.Printf("%d events, %d rules broken\n", len(all), len(rows))
	if len(rows) > 0 {
		return 1
	}
	return 0
}
