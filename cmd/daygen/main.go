// Command daygen draws a day of trouble for a site file: entries of all kinds
// that a table lists, spread over the day, as a TOML file with one [[day]].
// It knows no kind, site or bound of its own, and the same seed gives the same
// bytes.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// Exit codes: the day stands, the day can't be drawn or written, bad flags.
const (
	exitDrawn = iota
	exitFailed
	exitUsage
)

// order is what the command line asks for.
type order struct {
	site, kinds, out string
	without, only    string
	closing          string
	wish             Wish
}

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

// parse reads and checks the flags; done says that there is nothing to draw.
func parse(args []string, stderr io.Writer) (o order, code int, done bool) {
	f := flag.NewFlagSet("daygen", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.site, "site", "", "site `file` that the day is for (needed)")
	f.StringVar(&o.kinds, "kinds", "", "table `file` of kinds (default: the site's own list of troubles)")
	f.StringVar(&o.out, "out", "", "`file` to write (default: standard output)")
	f.StringVar(&o.without, "without", "", "`kinds` to leave out, by commas")
	f.StringVar(&o.only, "only", "", "the only `kinds` to draw from, by commas")
	f.StringVar(&o.closing, "closing", "", "closing fault: a kind of the table's closings, any or none (default none)")
	f.Uint64Var(&o.wish.Seed, "seed", 1, "seed: the same one gives the same day")
	f.Float64Var(&o.wish.Seconds, "seconds", 60, "length of the day's traffic, 10 to 3600; 0: as long as the entries need")
	f.IntVar(&o.wish.Changes, "changes", 0, "changes of the configuration that storms bring together, 0 to 5000")
	f.IntVar(&o.wish.Entries, "entries", 12, "entries drawn by weight, 0 to 500, besides those of -twice and -changes")
	f.BoolVar(&o.wish.Twice, "twice", false, "each kind that the table marks as control comes twice at least")
	if err := f.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return o, exitDrawn, true
		}
		return o, exitUsage, true
	}
	if fault := o.fault(f.Args()); fault != "" {
		_, _ = fmt.Fprintln(stderr, "daygen:", fault)
		return o, exitUsage, true
	}
	return o, exitDrawn, false
}

// fault names what is wrong with the command line, or nothing.
func (o order) fault(rest []string) string {
	w := o.wish
	switch {
	case len(rest) > 0:
		return fmt.Sprintf("%q: no arguments are expected beside flags", rest[0])
	case o.site == "":
		return "-site is needed"
	case w.Seconds != 0 && !(w.Seconds >= shortestDay && w.Seconds <= longestDay):
		return fmt.Sprintf("-seconds %v: expected 0, or %v to %v", w.Seconds, shortestDay, longestDay)
	case w.Changes < 0 || w.Changes > mostChanges:
		return fmt.Sprintf("-changes %d: expected 0 to %d", w.Changes, mostChanges)
	case w.Entries < 0 || w.Entries > mostEntries:
		return fmt.Sprintf("-entries %d: expected 0 to %d", w.Entries, mostEntries)
	}
	return ""
}

// draw reads the files and gives the day's text.
func (o order) draw() (string, error) {
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
	if table, err = table.Pick(names(o.only), names(o.without)); err != nil {
		return "", err
	}
	closing, err := table.closing(o.closing)
	if err != nil {
		return "", err
	}
	o.wish.Closing = closing
	day, err := Draw(site, table, o.wish)
	if err != nil {
		return "", err
	}
	return day.String(), nil
}

func names(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}
