package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// event is one line that `go test -json` prints.
type event struct{ Action, Package, ImportPath, Test, Output string }

// said is what a test says by itself, as of Error or Log.
var said = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// Judge follows a run of `go test -json` and tells whether anything failed but
// the tests that are listed as known to fail.
type Judge struct {
	entries []Entry
	module  string
	out     io.Writer

	failed, passed map[string]bool // tests, as PACKAGE.TEST
	spoke          map[string]bool // tests that said something themselves
	bad            map[string]bool // packages that failed
	open           map[string]bool // packages begun and not ended
	closed         map[string]bool // packages that failed after all their tests
	broken         []string        // what fails the run whatever is listed
	ended          int
}

// NewJudge makes a judge for the tests of a module; what they print goes on to
// out.
// Example: NewJudge(entries, "mulleinmast", os.Stdout)
func NewJudge(entries []Entry, module string, out io.Writer) *Judge {
	return &Judge{
		entries: entries, module: module, out: out,
		failed: map[string]bool{}, passed: map[string]bool{}, spoke: map[string]bool{}, bad: map[string]bool{}, open: map[string]bool{}, closed: map[string]bool{},
	}
}

// Follow reads the whole run. A line that isn't an event breaks it.
// Example: err := judge.Follow(os.Stdin)
func (j *Judge) Follow(run io.Reader) error {
	lines := bufio.NewScanner(run)
	lines.Buffer(nil, 1<<26)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			j.broken = append(j.broken, fmt.Sprintf("go test said %q", lines.Text()))
			continue
		}
		j.take(e)
	}
	return lines.Err()
}

// name is a test's name as the list has it. The root's own package has the
// module's name.
func (j *Judge) name(e event) string {
	return strings.TrimPrefix(e.Package, j.module+"/") + "." + e.Test
}

func (j *Judge) take(e event) {
	_, _ = fmt.Fprint(j.out, e.Output)
	switch {
	case e.Action == "build-fail":
		j.broken = append(j.broken, e.ImportPath+" doesn't build")
	case e.Action == "start":
		j.open[e.Package] = true
	case e.Action == "output" && e.Test != "":
		if said.MatchString(e.Output) {
			j.spoke[j.name(e)] = true
		}
	case e.Action == "output":
		if e.Output == "FAIL\n" {
			j.closed[e.Package] = true
		}
	case e.Test != "" && e.Action == "fail":
		j.failed[j.name(e)] = true
	case e.Test != "" && e.Action == "pass":
		j.passed[j.name(e)] = true
	case e.Test == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip"):
		delete(j.open, e.Package)
		j.ended++
		if e.Action == "fail" && !j.closed[e.Package] {
			j.broken = append(j.broken, e.Package+" stopped in the middle of its tests")
		}
		if e.Action == "fail" {
			j.bad[strings.TrimPrefix(e.Package, j.module+"/")] = true
		}
	}
}

// Verdict prints each listed test with what became of it and what else failed,
// and tells whether the run may pass. status is the exit code of go test.
// Example: ok := judge.Verdict(1)
func (j *Judge) Verdict(status int) bool {
	for _, entry := range j.entries {
		switch {
		case j.failed[entry.Test]:
			_, _ = fmt.Fprintf(j.out, "KNOWN RED: %s: %s (%s)\n", entry.Test, entry.Cause, entry.Issue)
		case j.passed[entry.Test]:
			_, _ = fmt.Fprintf(j.out, "LISTED BUT PASSES: %s: take it off the list (%s)\n", entry.Test, entry.Issue)
		default:
			j.broken = append(j.broken, entry.Test+" is listed and wasn't run")
		}
	}
	unexplained := j.unexplained()
	for _, pkg := range sorted(j.bad) {
		if !slices.ContainsFunc(sorted(j.failed), func(test string) bool { return strings.HasPrefix(test, pkg+".") }) {
			j.broken = append(j.broken, pkg+" failed outside its tests")
		}
	}
	for _, pkg := range sorted(j.open) {
		j.broken = append(j.broken, pkg+" didn't end")
	}
	if j.ended == 0 {
		j.broken = append(j.broken, "no package was tested")
	}
	if status != 0 && len(j.failed) == 0 {
		j.broken = append(j.broken, fmt.Sprintf("go test ended with %d and no test failed", status))
	}
	for _, what := range append(unexplained, j.broken...) {
		_, _ = fmt.Fprintln(j.out, "NOT PASSED OVER:", what)
	}
	return len(unexplained)+len(j.broken) == 0
}

// unexplained are the failed tests that the list doesn't excuse.
func (j *Judge) unexplained() []string {
	var left []string
	for _, test := range sorted(j.failed) {
		if !j.excused(test) {
			left = append(left, test)
		}
	}
	return left
}

// excused tells whether a failed test is listed, or part of a listed one, or
// failed for nothing but listed parts of it. One that says something of its own
// isn't excused by its parts.
func (j *Judge) excused(test string) bool {
	for _, entry := range j.entries {
		if test == entry.Test || strings.HasPrefix(test, entry.Test+"/") {
			return true
		}
	}
	parts := 0
	for _, part := range sorted(j.failed) {
		if !strings.HasPrefix(part, test+"/") {
			continue
		}
		if parts++; !j.excused(part) {
			return false
		}
	}
	return parts > 0 && !j.spoke[test]
}

func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
