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

// The house's words, and what they stand for elsewhere. They hold where the
// code was written in them.
var words = map[string]string{"deadline": "budget", "timer": "wakeup", "client": "requester", "health": "status", "admit": "take", "peer": "partner",
	"refuse": "shed", "zone": "cell", "settings": "config", "answer": "reply"}

// The users have since asked for the field's own terms wherever the house's
// words hide them. New folders speak these alone, and a folder that is renamed
// joins the list: a tree that mixes both would be read by nobody.
var standard = []string{"platform/", "proof/hollow/", "traffic/board/", "traffic/forward/", "traffic/gateway/", "traffic/route/", "proof/standin/"}

// What the house's words hide, for those folders.
var plain = map[string]string{"budget": "deadline", "wakeup": "timer", "requester": "client", "partner": "peer", "shed": "refuse", "cell": "zone",
	"reply": "answer or response", "berth": "server record", "waybill": "ledger", "parley": "call", "yard": "servers"}

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

// word names a type, field or function that uses another's word for ours.
func word(t *testing.T, path string, name *ast.Ident) {
	t.Helper()
	vocabulary := words
	for _, dir := range standard {
		if strings.HasPrefix(path, dir) {
			vocabulary = plain
		}
	}
	for _, w := range humps.FindAllString(name.Name, -1) {
		if ours, ok := vocabulary[strings.ToLower(w)]; ok {
			t.Errorf("%s: %s says %q, the word here is %q", path, name.Name, w, ours)
		}
	}
}
