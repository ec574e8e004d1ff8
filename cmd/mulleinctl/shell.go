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

// shell sends queries to daemons and prints their answers.
type shell struct {
	daemons []string // HTTP addresses given on the command line
	asJSON  bool
	http    *http.Client
	out     io.Writer
}

// table is an answer in text form.
type table struct {
	head string // column names, separated by spaces
	rows [][]any
}

func (t *table) add(values ...any) { t.rows = append(t.rows, values) }

// get decodes the JSON that a daemon returns for a path.
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

// getFirst queries the shell's daemons in order and returns the first answer.
func getFirst[T any](s *shell, path string) (answer T, err error) {
	for _, addr := range s.daemons {
		var got T
		if err = s.get(addr, path, &got); err == nil {
			return got, nil
		}
	}
	return answer, err
}

// answers holds the members' answers, and the errors of the members that did not answer,
// by HTTP address.
type answers[T any] struct {
	byAddr map[string]T
	errors map[string]error
}

// getAll queries all members in parallel.
func getAll[T any](s *shell, path string) (answers[T], error) {
	state, err := getFirst[daemon.State](s, "/v1/state")
	if err != nil {
		return answers[T]{}, err
	}
	var mu sync.Mutex // protects all
	all := answers[T]{byAddr: map[string]T{}, errors: map[string]error{}}
	var calls sync.WaitGroup
	for _, m := range state.Members {
		calls.Go(func() {
			var got T
			err := s.get(m.HTTPAddr, path, &got)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				all.errors[m.HTTPAddr] = err
			} else {
				all.byAddr[m.HTTPAddr] = got
			}
		})
	}
	calls.Wait()
	return all, nil
}

// reportErrors prints the errors of the members that did not answer.
func (a answers[T]) reportErrors() {
	for _, addr := range sortedKeys(a.errors) {
		_, _ = fmt.Fprintf(os.Stderr, "no answer from %s: %v\n", addr, a.errors[addr])
	}
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// show prints an answer, either as unmodified JSON or as a table.
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
