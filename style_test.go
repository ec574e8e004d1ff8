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
// terms, with the term that stands in their place. No identifier uses them.
var withdrawn = map[string]string{
	"budget": "deadline or timeout", "wakeup": "timer", "requester": "client", "requesters": "clients", "partner": "peer",
	"shed": "refuse", "sheds": "refusals", "cell": "zone", "cells": "zones", "reply": "answer or response", "replies": "responses",
	"berth": "server record", "berths": "server records", "waybill": "attempt ledger", "parley": "call", "yard": "server pool",
	"seat": "replica", "seats": "replicas", "ballot": "term", "ballots": "terms", "duty": "leadership", "notary": "quorum",
	"cabin": "daemon", "roster": "membership", "survey": "digest", "archive": "storage", "tariff": "fleet configuration",
	"interlock": "placement", "regulator": "clock", "daybook": "event log", "telegraph": "transport", "errand": "call",
	"errands": "calls", "depot": "fake server", "depots": "fake servers", "carrier": "load generator", "signalbox": "daemon",
	"testtrack": "lab", "enquiry": "query", "maker": "decode server", "makers": "decode servers", "readers": "prefill servers",
	"purge": "invalidation", "purged": "invalidated", "purges": "invalidations", "beaten": "conflict",
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
			if lines > 500 {
				t.Errorf("%s: %d lines, not a small module", path, lines)
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if id, ok := n.(*ast.Ident); ok && id.Obj != nil {
				word(t, path, id)
			}
			return true
		})
		word(t, path, file.Name)
		for _, d := range file.Decls {
			switch d := d.(type) {
			case *ast.FuncDecl:
				word(t, path, d.Name)
				if !test && d.Name.IsExported() && file.Name.Name != "main" && !strings.Contains(d.Doc.Text(), "Example:") {
					t.Errorf("%s: %s has no example in its comment", path, d.Name.Name)
				}
			case *ast.GenDecl:
				for _, s := range d.Specs {
					if ts, ok := s.(*ast.TypeSpec); ok {
						word(t, path, ts.Name)
						if st, ok := ts.Type.(*ast.StructType); ok {
							for _, f := range st.Fields.List {
								for _, n := range f.Names {
									word(t, path, n)
								}
							}
						}
					}
				}
			}
		}
	})
	if tests*5 > (tests+code)*2 {
		t.Errorf("%d lines of tests beside %d of code: more than two fifths", tests, code)
	}
}

// word fails an identifier that uses a withdrawn word.
func word(t *testing.T, path string, name *ast.Ident) {
	t.Helper()
	for _, w := range humps.FindAllString(name.Name, -1) {
		if term, ok := withdrawn[strings.ToLower(w)]; ok {
			t.Errorf("%s: %s says %q, the term here is %q", path, name.Name, w, term)
		}
	}
}
