package mulleinmast

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// withdrawn maps the words of an earlier, private vocabulary to the terms of the
// field that replaced them. Names, comments and texts of the code must not use these
// words; vocabulary_test.go checks this.
var withdrawn = vocabulary(map[string]string{
	"budget budgets": "deadline or timeout", "wakeup wakeups": "timer", "requester requesters": "client", "partner partners": "peer",
	"shed sheds shedding": "refuse", "cell cells": "zone", "reply replies": "answer or response",
	"berth berths": "server record", "waybill waybills": "attempt ledger", "parley parleys": "call", "yard yards": "server pool", "desk desks": "native API",
	"seat seats seated": "replica", "ballot ballots": "term", "owner owners": "leader", "duty duties": "leadership", "master masters": "leader",
	"notary notaries": "quorum", "cabin cabins": "daemon", "roster rosters": "membership", "survey surveys": "digest", "archive archives": "storage",
	"tariff tariffs": "fleet configuration", "interlock interlocks": "placement", "regulator regulators": "clock", "daybook daybooks": "event log",
	"telegraph telegraphs": "transport", "errand errands": "call", "depot depots": "fake server", "carrier carriers": "load generator",
	"signalbox": "mulleinmast", "testtrack": "fleetlab", "enquiry enquiries": "mulleinctl or query",
	"maker makers": "decode server", "readers": "prefill servers", "purge purged purges purging": "invalidation", "beaten": "conflict",
})

// vocabulary maps each form of a word, separated by spaces in the keys, to its term.
func vocabulary(forms map[string]string) map[string]string {
	words := map[string]string{}
	for list, term := range forms {
		for word := range strings.FieldsSeq(list) {
			words[word] = term
		}
	}
	return words
}

// nameParts matches the words of a camel-case name.
var nameParts = regexp.MustCompile(`[A-Z]?[a-z]+|[A-Z]+`)

// forEachGoFile calls f for every Go file that is not generated.
func forEachGoFile(t *testing.T, f func(path string, src []byte, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_gen.go") {
			return err
		}
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, src, parser.ParseComments)
		if err != nil {
			return err
		}
		f(path, src, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Limits on the lines of a function, for the product and for tests and proofs. The
// latter is the present maximum. The limits may be lowered but not raised.
const (
	maxProductFunction = 60
	maxFunction        = 113
)

// maxLines returns the limit for the functions of a file.
func maxLines(path string) int {
	for _, folder := range []string{"control/", "wire/", "traffic/", "platform/", "cmd/mulleinmast/", "cmd/mulleinctl/"} {
		if strings.HasPrefix(path, folder) && !strings.HasSuffix(path, "_test.go") {
			return maxProductFunction
		}
	}
	return maxFunction
}

func TestFunctionsAreShort(t *testing.T) {
	forEachGoFile(t, func(path string, src []byte, file *ast.File) {
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if !ok || f.Body == nil {
				continue
			}
			body := src[f.Body.Pos()-file.FileStart : f.Body.End()-file.FileStart]
			if lines := strings.Count(string(body), "\n") - 1; lines > maxLines(path) {
				t.Errorf("%s: %s has %d lines, limit is %d", path, f.Name.Name, lines, maxLines(path))
			}
		}
	})
}

func TestSourceStyle(t *testing.T) {
	code, tests := 0, 0
	forEachGoFile(t, func(path string, src []byte, file *ast.File) {
		lines := strings.Count(string(src), "\n")
		test := strings.HasSuffix(path, "_test.go")
		if test {
			tests += lines
			if strings.Contains(string(src), "time."+"Sleep(") {
				t.Errorf("%s: tests must not sleep", path)
			}
		} else {
			code += lines
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if ok && !test && f.Name.IsExported() && file.Name.Name != "main" && !strings.Contains(f.Doc.Text(), "Example:") {
				t.Errorf("%s: the doc comment of %s has no example", path, f.Name.Name)
			}
		}
	})
	if tests*5 > (tests+code)*2 {
		t.Errorf("%d lines of tests and %d of other code: tests exceed two fifths", tests, code)
	}
}
