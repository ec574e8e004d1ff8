// Command loadgen generates client load and records a journal of it. With -check it
// checks recorded journals against the rules instead.
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
	to := flag.String("targets", "127.0.0.1:8000", "HTTP `addresses` of daemons, such as a,b,c")
	flag.StringVar(&c.Mix, "mix", "rangsit", "request mix: rangsit or pat")
	flag.Float64Var(&c.Rate, "rate", 20, "requests per second")
	flag.DurationVar(&c.For, "for", 10*time.Second, "duration of the load")
	flag.IntVar(&c.MaxRequests, "most", 100000, "maximum number of requests")
	flag.Int64Var(&c.Seed, "seed", 1, "seed")
	flag.DurationVar(&c.Timeout, "timeout", 10*time.Second, "timeout of a request")
	flag.Float64Var(&c.OnceKeyShare, "once", 0.3, "fraction of the requests with an idempotency (once) key")
	flag.BoolVar(&c.RepeatOnceKeys, "again", false, "send each request with a once key to a second daemon as well")
	flag.Float64Var(&c.LongShare, "swing", -1, "fraction of long prompts (below 0: as the mix sets it)")
	path := flag.String("journal", "loadgen.jsonl", "journal `file`")
	check := flag.Bool("check", false, "check the journals given as arguments instead of sending load")
	flag.Parse()
	if *check {
		os.Exit(checkJournals(flag.Args()))
	}
	if _, ok := load.Mixes[c.Mix]; !ok {
		_, _ = fmt.Fprintf(os.Stderr, "loadgen: -mix %q: expected rangsit or pat\n", c.Mix)
		os.Exit(2)
	}
	c.Targets = strings.Split(*to, ",")
	var faults []string
	for _, addr := range c.Targets {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			faults = append(faults, fmt.Sprintf("-targets: %q: expected an IP address and port", addr))
		}
	}
	if c.Rate <= 0 {
		faults = append(faults, fmt.Sprintf("-rate %v: expected more than 0", c.Rate))
	}
	if c.OnceKeyShare < 0 || c.OnceKeyShare > 1 {
		faults = append(faults, fmt.Sprintf("-once %v: expected 0 to 1", c.OnceKeyShare))
	}
	if c.Timeout <= 0 || c.MaxRequests < 1 {
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
	events, err := history.Read(*path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
	fmt.Print(load.Sum(events))
}

// checkJournals prints the rules that the journals break and returns the exit code.
func checkJournals(paths []string) int {
	var all []history.Event
	for _, path := range paths {
		events, err := history.Read(path)
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "loadgen:", err)
			return 2
		}
		all = append(all, events...)
	}
	violations := judge.All(all, judge.Default())
	for _, violation := range violations {
		fmt.Println(violation)
	}
	fmt.Printf("%d events, %d rules broken\n", len(all), len(violations))
	if len(violations) > 0 {
		return 1
	}
	return 0
}
