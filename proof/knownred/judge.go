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

// logLine matches a line that a test itself logs, as t.Error and t.Log print it.
var logLine = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// Judge reads the output of a `go test -json` run and decides whether anything
// failed other than the tests that are listed as known to fail.
type Judge struct {
	entries []Entry
	module  string
	out     io.Writer

	failed, passed map[string]bool // tests, as PACKAGE.TEST
	logged         map[string]bool // tests that logged a message of their own
	failedPackages map[string]bool // packages that failed
	running        map[string]bool // packages that started and have not finished
	completed      map[string]bool // packages that failed after running all their tests
	fatal          []string        // reasons to fail the run regardless of the list
	finished       int             // number of packages that finished
}

// NewJudge returns a Judge for the tests of a module. It copies the tests' output
// to out.
// Example: NewJudge(entries, "mulleinmast", os.Stdout)
func NewJudge(entries []Entry, module string, out io.Writer) *Judge {
	return &Judge{
		entries: entries, module: module, out: out,
		failed: map[string]bool{}, passed: map[string]bool{}, logged: map[string]bool{}, failedPackages: map[string]bool{}, running: map[string]bool{}, completed: map[string]bool{},
	}
}

// ReadAll reads the events of the run to the end. A line that isn't an event fails the run.
// Example: err := judge.ReadAll(os.Stdin)
func (j *Judge) ReadAll(run io.Reader) error {
	lines := bufio.NewScanner(run)
	lines.Buffer(nil, 1<<26)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			j.fatal = append(j.fatal, fmt.Sprintf("go test printed %q, which is not a JSON event", lines.Text()))
			continue
		}
		j.handle(e)
	}
	return lines.Err()
}

// name returns the test's name in the form that the list uses. The package at the
// module's root is listed under the module's name.
func (j *Judge) name(e event) string {
	return strings.TrimPrefix(e.Package, j.module+"/") + "." + e.Test
}

func (j *Judge) handle(e event) {
	_, _ = fmt.Fprint(j.out, e.Output)
	switch {
	case e.Action == "build-fail":
		j.fatal = append(j.fatal, e.ImportPath+" doesn't build")
	case e.Action == "start":
		j.running[e.Package] = true
	case e.Action == "output" && e.Test != "":
		if logLine.MatchString(e.Output) {
			j.logged[j.name(e)] = true
		}
	case e.Action == "output":
		if e.Output == "FAIL\n" {
			j.completed[e.Package] = true
		}
	case e.Test != "" && e.Action == "fail":
		j.failed[j.name(e)] = true
	case e.Test != "" && e.Action == "pass":
		j.passed[j.name(e)] = true
	case e.Test == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip"):
		delete(j.running, e.Package)
		j.finished++
		if e.Action == "fail" && !j.completed[e.Package] {
			j.fatal = append(j.fatal, e.Package+" stopped in the middle of its tests")
		}
		if e.Action == "fail" {
			j.failedPackages[strings.TrimPrefix(e.Package, j.module+"/")] = true
		}
	}
}

// Verdict prints the outcome of each listed test and every other failure, and
// reports whether the run passes. status is the exit code of go test.
// Example: ok := judge.Verdict(1)
func (j *Judge) Verdict(status int) bool {
	for _, entry := range j.entries {
		switch {
		case j.failed[entry.Test]:
			_, _ = fmt.Fprintf(j.out, "KNOWN RED: %s: %s (%s)\n", entry.Test, entry.Cause, entry.Issue)
		case j.passed[entry.Test]:
			_, _ = fmt.Fprintf(j.out, "LISTED BUT PASSES: %s: take it off the list (%s)\n", entry.Test, entry.Issue)
		default:
			j.fatal = append(j.fatal, entry.Test+" is listed and wasn't run")
		}
	}
	unexcused := j.unexcused()
	for _, pkg := range sorted(j.failedPackages) {
		if !slices.ContainsFunc(sorted(j.failed), func(test string) bool { return strings.HasPrefix(test, pkg+".") }) {
			j.fatal = append(j.fatal, pkg+" failed outside its tests")
		}
	}
	for _, pkg := range sorted(j.running) {
		j.fatal = append(j.fatal, pkg+" did not finish")
	}
	if j.finished == 0 {
		j.fatal = append(j.fatal, "no package was tested")
	}
	if status != 0 && len(j.failed) == 0 {
		j.fatal = append(j.fatal, fmt.Sprintf("go test exited with status %d although no test failed", status))
	}
	for _, failure := range append(unexcused, j.fatal...) {
		_, _ = fmt.Fprintln(j.out, "NOT PASSED OVER:", failure)
	}
	return len(unexcused)+len(j.fatal) == 0
}

// unexcused returns the failed tests that the list does not cover.
func (j *Judge) unexcused() []string {
	var left []string
	for _, test := range sorted(j.failed) {
		if !j.excused(test) {
			left = append(left, test)
		}
	}
	return left
}

// excused reports whether a failed test is listed, is a subtest of a listed test,
// or failed only because of listed subtests. A test that logged a message of its
// own is not excused by its subtests.
func (j *Judge) excused(test string) bool {
	for _, entry := range j.entries {
		if test == entry.Test || strings.HasPrefix(test, entry.Test+"/") {
			return true
		}
	}
	subtests := 0
	for _, subtest := range sorted(j.failed) {
		if !strings.HasPrefix(subtest, test+"/") {
			continue
		}
		if subtests++; !j.excused(subtest) {
			return false
		}
	}
	return subtests > 0 && !j.logged[test]
}

func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
