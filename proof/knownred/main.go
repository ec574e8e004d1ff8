// Command knownred reads the output of `go test -json` from standard input and
// exits with 0 if only tests failed that a list of known failures names exactly.
// It prints each of them with its cause. gotest.sh runs go test and this command.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "`file` that lists the tests known to fail")
	module := flag.String("module", "mulleinmast", "`path` of the module under test")
	status := flag.Int("status", 0, "exit `code` of go test")
	flag.Parse()
	text, err := os.ReadFile(*list)
	if err != nil {
		fail(err)
	}
	entries, err := ParseList(string(text))
	if err != nil {
		fail(fmt.Errorf("%s: %w", *list, err))
	}
	judge := NewJudge(entries, *module, os.Stdout)
	if err := judge.ReadAll(os.Stdin); err != nil {
		fail(err)
	}
	if !judge.Verdict(*status) {
		os.Exit(1)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
