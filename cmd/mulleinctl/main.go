// Command mulleinctl queries the fleet's state, interactively or with a single query,
// and prints text or JSON.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"mulleinmast/wire/httpresponse"
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

// Exit codes.
const (
	exitAnswered = 0
	exitNoAnswer = 1
	exitBadQuery = 2
)

// requestTimeout limits the time that one daemon has to answer.
const requestTimeout = 5 * time.Second

func main() { os.Exit(run()) }

func run() int {
	s := &shell{http: httpresponse.NewClient(requestTimeout), out: os.Stdout}
	to := flag.String("to", "127.0.0.1:8000", "HTTP `address` of a daemon, or a list such as a,b,c")
	flag.BoolVar(&s.asJSON, "json", false, "print JSON instead of text")
	flag.Usage = func() {
		_, _ = fmt.Fprintf(os.Stderr, "usage: mulleinctl [-to ip:port,...] [-json] [QUERY]\n\n"+
			"Without a query it reads queries from standard input. Exit codes: 0 answered, 1 no daemon answered, "+
			"2 invalid query or flags.\n\n%s\n", usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	s.daemons = strings.Split(*to, ",")
	for _, addr := range s.daemons {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return failQuery(fmt.Sprintf("-to %q: expected an IP address and port", addr))
		}
	}
	if flag.NArg() > 0 {
		return s.query(flag.Args())
	}
	s.interact()
	return exitAnswered
}

// interact answers queries from standard input until its end, or until quit or exit.
func (s *shell) interact() {
	lines := bufio.NewScanner(os.Stdin)
	for prompt(); lines.Scan(); prompt() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		if words[0] == "quit" || words[0] == "exit" {
			return
		}
		s.query(words)
	}
}

func prompt() { _, _ = fmt.Fprint(os.Stderr, "mulleinctl> ") }

// fail prints an error of a query that the fleet did not answer, and returns its exit code.
func fail(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "mulleinctl:", err)
	return exitNoAnswer
}

// failQuery prints why a query is invalid, and returns its exit code.
func failQuery(reason string) int {
	_, _ = fmt.Fprintln(os.Stderr, "mulleinctl:", reason)
	return exitBadQuery
}
