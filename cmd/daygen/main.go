// Command daygen generates a random fault schedule, called a day, for a site file:
// entries of all kinds that a table lists, spread over the day, as a TOML file with
// one [[day]]. No kinds or sites are built in, and the same seed gives the same bytes.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// Exit codes.
const (
	exitDrawn  = iota // the day was written
	exitFailed        // the day can't be drawn or written
	exitUsage         // invalid flags or arguments
)

// options are what the command line asks for.
type options struct {
	site    string // path of the site file
	kinds   string // path of the table of kinds; "": derive it from the site's troubles
	out     string // path of the file to write; "": standard output
	without string // kinds to leave out, separated by commas
	only    string // kinds to draw from, separated by commas; "": all
	closing string // a kind of the table's closings, "any" or "none"; "": none
	request Request
}

// run draws the day that the arguments ask for and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	o, code, done := parse(args, stderr)
	if done {
		return code
	}
	text, err := o.draw()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "daygen:", err)
		return exitFailed
	}
	if o.out == "" {
		_, err = io.WriteString(stdout, text)
	} else {
		err = os.WriteFile(o.out, []byte(text), 0o644)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "daygen:", err)
		return exitFailed
	}
	return exitDrawn
}

// parse reads and checks the flags. If done is true, the program exits with code
// without drawing a day.
func parse(args []string, stderr io.Writer) (o options, code int, done bool) {
	f := flag.NewFlagSet("daygen", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.site, "site", "", "site `file` that the day is for (required)")
	f.StringVar(&o.kinds, "kinds", "", "table `file` of kinds (default: derived from the site's list of troubles)")
	f.StringVar(&o.out, "out", "", "`file` to write (default: standard output)")
	f.StringVar(&o.without, "without", "", "`kinds` to leave out, separated by commas")
	f.StringVar(&o.only, "only", "", "the only `kinds` to draw from, separated by commas")
	f.StringVar(&o.closing, "closing", "",
		"closing fault: a kind of the table's closings, any or none (default none)")
	f.Uint64Var(&o.request.Seed, "seed", 1, "random seed; the same seed gives the same day")
	f.Float64Var(&o.request.Seconds, "seconds", 60,
		"length of the day's traffic, 10 to 3600; 0: as long as the entries need")
	f.IntVar(&o.request.Changes, "changes", 0, "total number of configuration changes in storms, 0 to 5000")
	f.IntVar(&o.request.Entries, "entries", 12,
		"entries drawn by weight, 0 to 500, in addition to those of -twice and -changes")
	f.BoolVar(&o.request.Twice, "twice", false, "include each kind that the table marks as control at least twice")
	if err := f.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return o, exitDrawn, true
		}
		return o, exitUsage, true
	}
	if problem := o.validate(f.Args()); problem != "" {
		_, _ = fmt.Fprintln(stderr, "daygen:", problem)
		return o, exitUsage, true
	}
	return o, exitDrawn, false
}

// validate returns the first problem with the command line, or "" if it is valid. rest holds
// the arguments after the flags.
func (o options) validate(rest []string) string {
	r := o.request
	switch {
	case len(rest) > 0:
		return fmt.Sprintf("%q: no arguments are expected besides flags", rest[0])
	case o.site == "":
		return "-site is needed"
	case r.Seconds != 0 && !(r.Seconds >= minDaySeconds && r.Seconds <= maxDaySeconds): // also NaN
		return fmt.Sprintf("-seconds %v: expected 0, or %v to %v", r.Seconds, minDaySeconds, maxDaySeconds)
	case r.Changes < 0 || r.Changes > maxChanges:
		return fmt.Sprintf("-changes %d: expected 0 to %d", r.Changes, maxChanges)
	case r.Entries < 0 || r.Entries > maxEntries:
		return fmt.Sprintf("-entries %d: expected 0 to %d", r.Entries, maxEntries)
	}
	return ""
}

// draw reads the files, draws a day and returns it as TOML.
func (o options) draw() (string, error) {
	site, err := ReadSite(o.site)
	if err != nil {
		return "", err
	}
	table := site.Table()
	if o.kinds != "" {
		if table, err = ReadTable(o.kinds); err != nil {
			return "", err
		}
	}
	if table, err = table.Pick(splitNames(o.only), splitNames(o.without)); err != nil {
		return "", err
	}
	closing, err := table.closing(o.closing)
	if err != nil {
		return "", err
	}
	o.request.Closing = closing
	day, err := Draw(site, table, o.request)
	if err != nil {
		return "", err
	}
	return day.String(), nil
}

// splitNames splits a list of names at commas and spaces.
func splitNames(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}
