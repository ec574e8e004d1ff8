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

// withdrawn are the words of an earlier vocabulary that hid the field's own
// terms, with the term that stands in their place. No name, comment or text of
// the code says them; vocabulary_test.go looks everywhere.
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

// vocabulary gives each of several forms of a word its term.
func vocabulary(forms map[string]string) map[string]string {
	words := map[string]string{}
	for list, term := range forms {
		for word := range strings.FieldsSeq(list) {
			words[word] = term
		}
	}
	return words
}

var humps = regexp.MustCompile(`[A-Z]?[a-z]+|[A-Z]+`)

// each calls f with every Go file that was written by hand.
func each(t *testing.T, f func(path string, src []byte, file *ast.File)) {
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

// Lines of a function at most: of the product, and of tests and proofs, where the
// limit is the value reached. They may be lowered, not raised.
const (
	maxProductFunction = 60
	maxFunction        = 113
)

// maxLines is the limit for the functions of a file.
func maxLines(path string) int {
	for _, folder := range []string{"control/", "wire/", "traffic/", "platform/", "cmd/mulleinmast/", "cmd/mulleinctl/"} {
		if strings.HasPrefix(path, folder) && !strings.HasSuffix(path, "_test.go") {
			return maxProductFunction
		}
	}
	return maxFunction
}

func TestFunctionsAreShort(t *testing.T) {
	each(t, func(path string, src []byte, file *ast.File) {
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if !ok || f.Body == nil {
				continue
			}
			body := src[f.Body.Pos()-file.FileStart : f.Body.End()-file.FileStart]
			if lines := strings.Count(string(body), "\n") - 1; lines > maxLines(path) {
				t.Errorf("%s: %s has %d lines, more than %d", path, f.Name.Name, lines, maxLines(path))
			}
		}
	})
}

func TestHouseStyle(t *testing.T) {
	code, tests := 0, 0
	each(t, func(path string, src []byte, file *ast.File) {
		lines := strings.Count(string(src), "\n")
		test := strings.HasSuffix(path, "_test.go")
		if test {
			tests += lines
			if strings.Contains(string(src), "time."+"Sleep(") {
				t.Errorf("%s: a test sleeps", path)
			}
		} else {
			code += lines
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if ok && !test && f.Name.IsExported() && file.Name.Name != "main" && !strings.Contains(f.Doc.Text(), "Example:") {
				t.Errorf("%s: %s has no example in its comment", path, f.Name.Name)
			}
		}
	})
	if tests*5 > (tests+code)*2 {
		t.Errorf("%d lines of tests beside %d of code: more than two fifths", tests, code)
	}
}
