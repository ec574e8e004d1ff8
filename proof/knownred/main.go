// Command knownred lets a run of `go test -json`, read from its input, pass
// when nothing failed but the tests that the list names, each by its exact name.
// It prints each of these with its cause; gotest.sh runs the two together.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "the file that lists the tests known to fail")
	module := flag.String("module", "mulleinmast", "the module's name")
	status := flag.Int("status", 0, "the exit code of go test")
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
	if err := judge.Follow(os.Stdin); err != nil {
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
