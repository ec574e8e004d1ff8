package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"mulleinmast/control/daemon"
)

// shell asks daemons and shows their answers.
type shell struct {
	daemons []string // HTTP addresses to begin with
	asJSON  bool
	http    *http.Client
	out     io.Writer
}

// table is an answer as text.
type table struct {
	head string // the columns' names, by spaces
	rows [][]any
}

func (t *table) add(values ...any) { t.rows = append(t.rows, values) }

// get reads the JSON at a daemon's path.
func (s *shell) get(addr, path string, to any) error {
	response, err := s.http.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", addr, path, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, to)
}

// getFirst asks the given daemons one after another until one answers.
func getFirst[T any](s *shell, path string) (answer T, err error) {
	for _, addr := range s.daemons {
		var got T
		if err = s.get(addr, path, &got); err == nil {
			return got, nil
		}
	}
	return answer, err
}

// answers are those of all members, by their HTTP addresses, and the errors of those
// that gave none.
type answers[T any] struct {
	byAddr map[string]T
	silent map[string]error
}

// getAll asks every member at once.
func getAll[T any](s *shell, path string) (answers[T], error) {
	state, err := getFirst[daemon.State](s, "/v1/state")
	if err != nil {
		return answers[T]{}, err
	}
	var mu sync.Mutex // guards all
	all := answers[T]{byAddr: map[string]T{}, silent: map[string]error{}}
	var calls sync.WaitGroup
	for _, m := range state.Members {
		calls.Go(func() {
			var got T
			err := s.get(m.HTTPAddr, path, &got)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				all.silent[m.HTTPAddr] = err
			} else {
				all.byAddr[m.HTTPAddr] = got
			}
		})
	}
	calls.Wait()
	return all, nil
}

// reportSilent names the members that gave no answer.
func (a answers[T]) reportSilent() {
	for _, addr := range sortedKeys(a.silent) {
		_, _ = fmt.Fprintf(os.Stderr, "silent: %s: %v\n", addr, a.silent[addr])
	}
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// show prints an answer as JSON as it is, or as a table.
func (s *shell) show(answer any, t table) int {
	if s.asJSON {
		return s.showJSON(answer)
	}
	w := tabwriter.NewWriter(s.out, 2, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(t.head, " ", "\t"))
	for _, row := range t.rows {
		for i, value := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, value)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
	return exitAnswered
}

func (s *shell) showJSON(answer any) int {
	text, err := json.MarshalIndent(answer, "", "  ")
	if err != nil {
		return fail(err)
	}
	_, _ = fmt.Fprintln(s.out, string(text))
	return exitAnswered
}
