package mulleinmast

import (
	"go/ast"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// kept are the withdrawn words that stand in data which older builds, users'
// programs or disks hold: exact literals, each with what it is. Prose never
// needs one.
var kept = map[string]string{
	"shed": "a result that clients and model servers read", "beaten": "a result that operators' programs read",
	"maker": "a role in servers' lists, orders and records",
	"reply": "an event in the histories of older runs", "sheds": "a field of the state dump", "seat": "a call between daemons", "berth": "a record's kind", "berth/": "a record's key",
	"cell": "a field of lists, sessions and histories", "cells/out": "a record's key", "seats/now": "a record's key", "budget_ms": "a field of requests and plans",
	"POST /v1/cells/{zone}/{op}": "a path in operators' scripts", "POST /v1/seats": "a path in operators' scripts",
	"BUDGET": "a rule of the users",
}

// keptFields are fields, columns and others' words that stand inside longer
// texts.
var keptFields = []string{" BUDGET ", "git archive", "budget_ms", "duties = []", `"Seats":[`, "services[0].readers", "seat(part integer", "from seat", "into seat values", "update seat set"}

var (
	letters = regexp.MustCompile(`[A-Za-z]+`)
	quoted  = regexp.MustCompile("[\"`]([^\"`]+)[\"`]")
)

// houseWords are the withdrawn words that a text says, with their terms.
func houseWords(text string) map[string]string {
	said := map[string]string{}
	for _, word := range letters.FindAllString(text, -1) {
		for _, hump := range append(humps.FindAllString(word, -1), word) {
			if term, ok := withdrawn[strings.ToLower(hump)]; ok {
				said[strings.ToLower(hump)] = term
			}
		}
	}
	return said
}

// withoutKept takes the kept literals and fields out of a text.
func withoutKept(text string) string {
	text = quoted.ReplaceAllStringFunc(text, func(literal string) string {
		if _, ok := kept[strings.Trim(literal, "\"`")]; ok {
			return ""
		}
		return literal
	})
	for _, field := range keptFields {
		text = strings.ReplaceAll(text, field, "")
	}
	return text
}

func TestNoHouseWordInNamesCommentsAndTexts(t *testing.T) {
	used := map[string]bool{}
	each(t, func(path string, _ []byte, file *ast.File) {
		if filepath.Base(path) == "vocabulary_test.go" || path == "style_test.go" {
			return // they list the words
		}
		say := func(what, text string) {
			for _, word := range slices.Sorted(maps.Keys(houseWords(text))) {
				t.Errorf("%s: %s says %q, the term here is %q: %.60s", path, what, word, withdrawn[word], text)
			}
		}
		say("the path", path)
		say("the package", file.Name.Name)
		for _, group := range file.Comments {
			for _, line := range group.List {
				say("a comment", withoutKept(line.Text))
			}
		}
		tags := map[*ast.BasicLit]bool{} // they are data formats
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.Ident:
				if len(houseWords(n.Name)) > 0 && !foreign[n.Name] {
					say("a name", n.Name)
				}
			case *ast.Field:
				if n.Tag != nil {
					tags[n.Tag] = true
					for _, field := range quoted.FindAllStringSubmatch(n.Tag.Value[1:len(n.Tag.Value)-1], -1) {
						name, _, _ := strings.Cut(field[1], ",")
						used[name] = true
					}
				}
			case *ast.BasicLit:
				text, err := strconv.Unquote(n.Value)
				if n.Kind != token.STRING || tags[n] || err != nil {
					return true
				}
				if _, ok := kept[text]; ok {
					used[text] = true
					return true
				}
				say("a text", withoutKept(text))
			}
			return true
		})
	})
	for literal, what := range kept {
		if !used[literal] {
			t.Errorf("%q is kept as %s, but nothing says it", literal, what)
		}
	}
}

// foreign are names of others: a field of the users' settings.
var foreign = map[string]bool{"Duties": true}

// Pages and scripts speak the same words as the code.
func TestNoHouseWordInPagesAndScripts(t *testing.T) {
	var files []string
	for _, pattern := range []string{"*.md", "docs/*.md", "*.sh", ".ci/*", "proof/*/*.sh", "proof/*/*/*.sh"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	if len(files) < 10 {
		t.Fatalf("only %v were found", files)
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		no := 0
		for line := range strings.Lines(string(text)) {
			no++
			for word, term := range houseWords(withoutKept(line)) {
				t.Errorf("%s:%d says %q, the term here is %q", path, no, word, term)
			}
		}
	}
}

func TestHouseWordsAreFound(t *testing.T) {
	for text, want := range map[string]int{
		"leaderOfPart":                  0,
		"theOwner":                      1,
		"newBerths":                     1,
		"a reply to the requester":      2,
		"Purging the CELL":              2,
		`kept: "shed", and "budget_ms"`: 2,
		"an answer":                     0,
	} {
		if got := houseWords(text); len(got) != want {
			t.Errorf("%q: found %v", text, got)
		}
	}
	for text, want := range map[string]int{`results are "shed" and others`: 0, `results are shed`: 1, `budget_ms: 0`: 0, `the budget`: 1} {
		if got := houseWords(withoutKept(text)); len(got) != want {
			t.Errorf("%q: found %v", text, got)
		}
	}
}

// replaced are plain words that the glossary's terms replaced in the packages that
// were made over, with the terms. No name that these packages declare says them.
var replaced = vocabulary(map[string]string{
	"kid kids": "child", "crown uncrown crowned": "root", "ghost ghosts": "skipped relay", "vain": "unanswered",
	"steer steered": "redirect", "digs": "digests", "rumour rumours": "gossip", "astray": "isolated",
	"mend mends mended": "repair", "sick ill": "faulty or unavailable", "kin mates": "peers", "errand errands": "call",
	"trip trips": "request", "lane lanes": "dispatcher", "dice": "hash", "shy": "backoff", "board boards": "load reporter",
	"sheet sheets": "load report", "telling tellings": "load report", "beat beats": "heartbeat or interval",
	"promise promised promises": "vote", "unfit": "mismatch", "sight": "view",
})

// madeOver are the folders whose names follow the glossary.
var madeOver = []string{"control/", "wire/", "traffic/forward/", "traffic/loadreport/", "cmd/mulleinmast/", "cmd/mulleinctl/"}

func TestDeclaredNamesFollowTheGlossary(t *testing.T) {
	looked := 0
	each(t, func(path string, _ []byte, file *ast.File) {
		if !slices.ContainsFunc(madeOver, func(folder string) bool { return strings.HasPrefix(path, folder) }) {
			return
		}
		looked++
		say := func(id *ast.Ident) {
			for _, hump := range humps.FindAllString(id.Name, -1) {
				if term, ok := replaced[strings.ToLower(hump)]; ok {
					t.Errorf("%s: %s says %q, the term here is %q", path, id.Name, strings.ToLower(hump), term)
				}
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				say(n.Name)
			case *ast.TypeSpec:
				say(n.Name)
			case *ast.Field:
				for _, name := range n.Names {
					say(name)
				}
			case *ast.ValueSpec:
				for _, name := range n.Names {
					say(name)
				}
			case *ast.AssignStmt:
				for _, left := range n.Lhs {
					if id, ok := left.(*ast.Ident); ok && n.Tok == token.DEFINE {
						say(id)
					}
				}
			}
			return true
		})
	})
	if looked < 100 {
		t.Errorf("only %d files were looked at", looked)
	}
}
