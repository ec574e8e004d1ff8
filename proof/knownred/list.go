package main

import (
	"fmt"
	"strings"
)

// Entry is one test that is known to fail: its name, as PACKAGE.TEST with the
// package's path inside the module, the cause, and the issue that tracks the fix.
type Entry struct{ Test, Cause, Issue string }

// ParseList reads the list of known failures, one per line: the test before the
// first comma, the issue after the last one, and the cause between them.
// Example: ParseList("control/lease.TestLate, drift counted twice, issue 12\n")
func ParseList(text string) ([]Entry, error) {
	var entries []Entry
	seen := map[string]bool{}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		first, last := strings.Index(line, ","), strings.LastIndex(line, ",")
		if first < 0 || first == last {
			return nil, fmt.Errorf("%q: expected a test, its cause and an issue, separated by commas", line)
		}
		entry := Entry{strings.TrimSpace(line[:first]), strings.TrimSpace(line[first+1 : last]), strings.TrimSpace(line[last+1:])}
		_, test, named := strings.Cut(entry.Test, ".")
		switch {
		case !named || !strings.HasPrefix(test, "Test") || strings.ContainsAny(entry.Test, " *"):
			return nil, fmt.Errorf("%q: expected the exact name of a test as PACKAGE.TEST", entry.Test)
		case entry.Cause == "" || entry.Issue == "":
			return nil, fmt.Errorf("%s: cause or issue is missing", entry.Test)
		case seen[entry.Test]:
			return nil, fmt.Errorf("%s: listed twice", entry.Test)
		}
		seen[entry.Test] = true
		entries = append(entries, entry)
	}
	return entries, nil
}
