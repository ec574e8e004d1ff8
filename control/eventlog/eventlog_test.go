package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestFieldsFollowTheMessage(t *testing.T) {
	for _, c := range []struct {
		name, message string
		fields        []any
		want          string
	}{
		{"no fields", "stopped", nil, "stopped"},
		{"numbers and durations", "lost", []any{"n", 3, "after", 1500 * time.Millisecond}, "lost n=3 after=1.5s"},
		{"a value of several words", "failed", []any{"error", errors.New("disk is full")}, `failed error="disk is full"`},
		{"a list", "seeds", []any{"seeds", []string{"a", "b"}}, `seeds seeds="[a b]"`},
		{"an empty value", "zone", []any{"zone", ""}, `zone zone=""`},
		{"a key without a value", "odd", []any{"key"}, "odd key=(none)"},
		{"a message that looks like a format", "100%d", nil, "100%d"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := render(c.message, c.fields); got != c.want {
				t.Errorf("rendered %q, expected %q", got, c.want)
			}
		})
	}
}

// written returns the kinds and messages of the lines that a log wrote.
func written(t *testing.T, out io.Reader) (kinds []string) {
	t.Helper()
	for lines := json.NewDecoder(out); lines.More(); {
		var line struct{ Kind, Message string }
		if err := lines.Decode(&line); err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, strings.ReplaceAll(line.Kind, " ", "-")+":"+line.Message)
	}
	return kinds
}

// Checks which entries stay in the ring buffer, which are written out, and when.
func TestLevelsDecideWhatIsWritten(t *testing.T) {
	for _, c := range []struct {
		name    string
		verbose bool
		log     func(*Log)
		want    []string
	}{
		{"debug stays in the ring", false, func(l *Log) {
			l.Debug("a", "x")
		}, nil},
		{"info is written at once", false, func(l *Log) {
			l.Debug("a", "x")
			l.Info("b", "y", "n", 1)
		}, []string{"b:y n=1"}},
		{"a warning writes earlier entries too", false, func(l *Log) {
			l.Debug("a", "x")
			l.Warn("b", "y")
		}, []string{"a:x", "trouble-b:y"}},
		{"a second warning is delayed", false, func(l *Log) {
			l.Warn("a", "x")
			l.Warn("b", "y")
		}, []string{"trouble-a:x"}},
		{"a later warning writes only new entries", false, func(l *Log) {
			l.Warn("a", "x")
			l.flushedAt = time.Time{}
			l.Debug("c", "z")
			l.Warn("b", "y")
		}, []string{"trouble-a:x", "c:z", "trouble-b:y"}},
		{"verbose writes everything", true, func(l *Log) {
			l.Debug("a", "x")
		}, []string{"a:x"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			l := New(8, &out)
			l.Verbose = c.verbose
			c.log(l)
			if got := written(t, &out); !slices.Equal(got, c.want) {
				t.Errorf("wrote %q, expected %q", got, c.want)
			}
		})
	}
}

func TestRingKeepsNewestEntries(t *testing.T) {
	l := New(3, io.Discard)
	for range 5 {
		l.Debug("a", "x")
	}
	numbers := func(list []Entry) (out []uint64) {
		for _, e := range list {
			out = append(out, e.Number)
		}
		return out
	}
	if got := numbers(l.Since(0)); !slices.Equal(got, []uint64{3, 4, 5}) {
		t.Errorf("all entries: %v", got)
	}
	if got := numbers(l.Since(4)); !slices.Equal(got, []uint64{5}) {
		t.Errorf("entries after 4: %v", got)
	}
	if got := l.Since(5); got != nil {
		t.Errorf("entries after the newest: %v", got)
	}
}
