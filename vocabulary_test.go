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

// keptLiterals are exact literals with withdrawn words that must stay because older builds,
// users' programs or stored data use them, each with its meaning. Prose never needs
// one.
var keptLiterals = map[string]string{
	"shed": "a result that clients and model servers read", "beaten": "a result that operators' programs read",
	"maker": "a role in servers' lists, orders and records",
	"reply": "an event in the histories of older runs", "sheds": "a field of the state dump", "seat": "a call between daemons", "berth": "a record's kind", "berth/": "a record's key",
	"cell": "a field of lists, sessions and histories", "cells/out": "a record's key", "seats/now": "a record's key", "budget_ms": "a field of requests and plans",
	"POST /v1/cells/{zone}/{op}": "a path in operators' scripts", "POST /v1/seats": "a path in operators' scripts",
	"BUDGET": "a rule of the users",
}

// keptFields are fields, columns and external terms that occur within longer texts.
var keptFields = []string{" BUDGET ", "git archive", "budget_ms", "duties = []", `"Seats":[`, "services[0].readers", "seat(part integer", "from seat", "into seat values", "update seat set"}

var (
	letters = regexp.MustCompile(`[A-Za-z]+`)
	quoted  = regexp.MustCompile("[\"`]([^\"`]+)[\"`]")
)

// withdrawnWords returns the withdrawn words in a text, mapped to the current terms.
func withdrawnWords(text string) map[string]string {
	found := map[string]string{}
	for _, word := range letters.FindAllString(text, -1) {
		for _, part := range append(nameParts.FindAllString(word, -1), word) {
			if term, ok := withdrawn[strings.ToLower(part)]; ok {
				found[strings.ToLower(part)] = term
			}
		}
	}
	return found
}

// withoutKept returns the text without the kept literals and fields.
func withoutKept(text string) string {
	text = quoted.ReplaceAllStringFunc(text, func(literal string) string {
		if _, ok := keptLiterals[strings.Trim(literal, "\"`")]; ok {
			return ""
		}
		return literal
	})
	for _, field := range keptFields {
		text = strings.ReplaceAll(text, field, "")
	}
	return text
}

func TestCodeUsesCurrentVocabulary(t *testing.T) {
	used := map[string]bool{}
	forEachGoFile(t, func(path string, _ []byte, file *ast.File) {
		if filepath.Base(path) == "vocabulary_test.go" || path == "style_test.go" {
			return // these files list the words
		}
		report := func(what, text string) {
			for _, word := range slices.Sorted(maps.Keys(withdrawnWords(text))) {
				t.Errorf("%s: %s uses the withdrawn word %q, use %q: %.60s", path, what, word, withdrawn[word], text)
			}
		}
		report("the path", path)
		report("the package", file.Name.Name)
		for _, group := range file.Comments {
			for _, line := range group.List {
				report("a comment", withoutKept(line.Text))
			}
		}
		tags := map[*ast.BasicLit]bool{} // struct tags are part of data formats
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.Ident:
				if len(withdrawnWords(n.Name)) > 0 && !externalNames[n.Name] {
					report("a name", n.Name)
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
				if _, ok := keptLiterals[text]; ok {
					used[text] = true
					return true
				}
				report("a text", withoutKept(text))
			}
			return true
		})
	})
	for literal, what := range keptLiterals {
		if !used[literal] {
			t.Errorf("%q is listed in keptLiterals as %s, but no code uses it", literal, what)
		}
	}
}

// externalNames are externally defined names: a field of the users' settings.
var externalNames = map[string]bool{"Duties": true}

// Pages and scripts follow the same vocabulary as the code.
func TestPagesAndScriptsUseCurrentVocabulary(t *testing.T) {
	var files []string
	for _, pattern := range []string{"*.md", "docs/*.md", "*.sh", ".ci/*", "proof/*/*.sh", "proof/*/*/*.sh"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	if len(files) < 10 {
		t.Fatalf("found only %v, want at least 10 files", files)
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		no := 0
		for line := range strings.Lines(string(text)) {
			no++
			for word, term := range withdrawnWords(withoutKept(line)) {
				t.Errorf("%s:%d uses the withdrawn word %q, use %q", path, no, word, term)
			}
		}
	}
}

func TestWithdrawnWordsAreFound(t *testing.T) {
	for text, want := range map[string]int{
		"leaderOfPart":                  0,
		"theOwner":                      1,
		"newBerths":                     1,
		"a reply to the requester":      2,
		"Purging the CELL":              2,
		`kept: "shed", and "budget_ms"`: 2,
		"an answer":                     0,
	} {
		if got := withdrawnWords(text); len(got) != want {
			t.Errorf("%q: found the wrong number of words: %v", text, got)
		}
	}
	for text, want := range map[string]int{`results are "shed" and others`: 0, `results are shed`: 1, `budget_ms: 0`: 0, `the budget`: 1} {
		if got := withdrawnWords(withoutKept(text)); len(got) != want {
			t.Errorf("%q without kept texts: found the wrong number of words: %v", text, got)
		}
	}
}

// replaced maps words to the glossary's terms that replaced them in the folders of
// glossaryFolders. Names declared there must not use these words.
var replaced = vocabulary(map[string]string{
	"kid kids": "child", "crown uncrown crowned": "root", "ghost ghosts": "skipped relay", "vain": "unanswered",
	"steer steered": "redirect", "digs": "digests", "rumour rumours": "gossip", "astray": "isolated",
	"mend mends mended": "repair", "sick ill": "faulty or unavailable", "kin mates": "peers", "errand errands": "call",
	"trip trips": "request", "lane lanes": "dispatcher", "dice": "hash", "shy": "backoff", "board boards": "load reporter",
	"sheet sheets": "load report", "telling tellings": "load report", "beat beats": "heartbeat or interval",
	"promise promised promises": "vote", "unfit": "mismatch", "sight": "view",
})

// glossaryFolders are the folders whose names follow the glossary.
var glossaryFolders = []string{"control/", "wire/", "traffic/forward/", "traffic/loadreport/", "cmd/mulleinmast/", "cmd/mulleinctl/"}

func TestDeclaredNamesFollowTheGlossary(t *testing.T) {
	checked := 0
	forEachGoFile(t, func(path string, _ []byte, file *ast.File) {
		if !slices.ContainsFunc(glossaryFolders, func(folder string) bool { return strings.HasPrefix(path, folder) }) {
			return
		}
		checked++
		report := func(id *ast.Ident) {
			for _, part := range nameParts.FindAllString(id.Name, -1) {
				if term, ok := replaced[strings.ToLower(part)]; ok {
					t.Errorf("%s: %s uses the replaced word %q, use %q", path, id.Name, strings.ToLower(part), term)
				}
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				report(n.Name)
			case *ast.TypeSpec:
				report(n.Name)
			case *ast.Field:
				for _, name := range n.Names {
					report(name)
				}
			case *ast.ValueSpec:
				for _, name := range n.Names {
					report(name)
				}
			case *ast.AssignStmt:
				for _, left := range n.Lhs {
					if id, ok := left.(*ast.Ident); ok && n.Tok == token.DEFINE {
						report(id)
					}
				}
			}
			return true
		})
	})
	if checked < 100 {
		t.Errorf("checked only %d files, want at least 100", checked)
	}
}
