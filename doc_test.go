package mulleinmast

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// documented reports whether a doc comment exists and begins with the name of the
// declared item, optionally after an article.
func documented(doc *ast.CommentGroup, name string) bool {
	words := strings.Fields(doc.Text())
	if len(words) > 1 && (words[0] == "A" || words[0] == "An" || words[0] == "The") {
		words = words[1:]
	}
	return len(words) > 0 && strings.TrimRight(words[0], ",.:;'s") == strings.TrimRight(name, "s")
}

// misnamed reports whether a doc comment begins with a lower-case word other than the
// name of the declared item, as it does when a rename missed the comment.
func misnamed(doc *ast.CommentGroup, name string) bool {
	words := strings.Fields(doc.Text())
	return len(words) > 0 && words[0][0] >= 'a' && words[0][0] <= 'z' && !documented(doc, name)
}

// undocumented returns the exported items of a file that have no doc comment, and all
// items whose comment begins with another name. In test files only the latter count.
// Constants and variables of a group may share the group's comment or have one at
// the end of their line.
func undocumented(file *ast.File, test bool) (names []string) {
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			if decl.Name.IsExported() && !test && !documented(decl.Doc, decl.Name.Name) || misnamed(decl.Doc, decl.Name.Name) {
				names = append(names, decl.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					doc := spec.Doc
					if doc == nil && len(decl.Specs) == 1 {
						doc = decl.Doc
					}
					if spec.Name.IsExported() && !test && !documented(doc, spec.Name.Name) || misnamed(doc, spec.Name.Name) {
						names = append(names, spec.Name.Name)
					}
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						if name.IsExported() && !test && decl.Doc.Text() == "" && spec.Doc.Text() == "" && spec.Comment.Text() == "" {
							names = append(names, name.Name)
						}
					}
				}
			}
		}
	}
	return names
}

func TestEveryExportedItemIsDocumented(t *testing.T) {
	packages := map[string]bool{} // folder -> has a package comment
	forEachGoFile(t, func(path string, _ []byte, file *ast.File) {
		for _, name := range undocumented(file, strings.HasSuffix(path, "_test.go")) {
			t.Errorf("%s: %s has no doc comment that begins with its name", path, name)
		}
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		folder := filepath.Dir(path)
		packages[folder] = packages[folder] || strings.HasPrefix(file.Doc.Text(), "Package "+file.Name.Name+" ") ||
			file.Name.Name == "main" && strings.HasPrefix(file.Doc.Text(), "Command "+filepath.Base(folder)+" ")
	})
	for folder, ok := range packages {
		if !ok {
			t.Errorf("%s: package comment is missing", folder)
		}
	}
}

// exampleCall matches a package-qualified exported name in an example.
var exampleCall = regexp.MustCompile(`\b([a-z]+)\.([A-Z]\w*)`)

// Examples in doc comments are not compiled, so a rename can leave an old name behind.
// Each name that an example uses from a package of this module must be declared there.
func TestExamplesUseDeclaredNames(t *testing.T) {
	declared := map[string]map[string]bool{}
	forEachGoFile(t, func(_ string, _ []byte, file *ast.File) {
		names := declared[file.Name.Name]
		if names == nil {
			names = map[string]bool{}
			declared[file.Name.Name] = names
		}
		for _, decl := range file.Decls {
			switch decl := decl.(type) {
			case *ast.FuncDecl:
				names[decl.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range decl.Specs {
					switch spec := spec.(type) {
					case *ast.TypeSpec:
						names[spec.Name.Name] = true
					case *ast.ValueSpec:
						for _, name := range spec.Names {
							names[name.Name] = true
						}
					}
				}
			}
		}
	})
	examples := 0
	forEachGoFile(t, func(path string, _ []byte, file *ast.File) {
		known := map[string]bool{file.Name.Name: true} // other qualifiers are variables
		for _, spec := range file.Imports {
			known[filepath.Base(strings.Trim(spec.Path.Value, `"`))] = true
		}
		for _, group := range file.Comments {
			_, example, ok := strings.Cut(group.Text(), "Example: ")
			if !ok {
				continue
			}
			examples++
			for _, call := range exampleCall.FindAllStringSubmatch(example, -1) {
				if names, ours := declared[call[1]]; ours && known[call[1]] && !names[call[2]] {
					t.Errorf("%s: the example uses %s, which is not declared", path, call[0])
				}
			}
		}
	})
	if examples == 0 {
		t.Error("found no examples")
	}
}

// Patterns for the tests and the paths of this repository that a page names in
// backquotes.
var (
	namedTest = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)`")
	namedPath = regexp.MustCompile("`((?:cmd|control|deploy|docs|platform|proof|traffic|wire)/[\\w./*-]*)`")
)

func TestPagesNameExistingTestsAndPaths(t *testing.T) {
	tests := map[string]bool{}
	forEachGoFile(t, func(path string, _ []byte, file *ast.File) {
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && strings.HasSuffix(path, "_test.go") {
				tests[f.Name.Name] = true
			}
		}
	})
	pages, err := filepath.Glob("docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("found %d pages in docs: %v", len(pages), err)
	}
	for _, page := range append(pages, "README.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range namedTest.FindAllStringSubmatch(string(text), -1) {
			if !tests[found[1]] {
				t.Errorf("%s names the test %s, which does not exist", page, found[1])
			}
		}
		for _, found := range namedPath.FindAllStringSubmatch(string(text), -1) {
			if there, err := filepath.Glob(found[1]); err != nil || len(there) == 0 {
				t.Errorf("%s names the path %s, which does not exist", page, found[1])
			}
		}
	}
}

// namedItem matches a name in backquotes, optionally qualified by its package or type.
var namedItem = regexp.MustCompile("`([A-Za-z]\\w*(?:\\.[A-Za-z]\\w*)*)`")

// declaredNames returns the names of all packages, functions, types, fields, constants
// and variables of the module.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	forEachGoFile(t, func(path string, _ []byte, file *ast.File) {
		names[file.Name.Name] = true
		names[filepath.Base(filepath.Dir(path))] = true
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				names[n.Name.Name] = true
			case *ast.TypeSpec:
				names[n.Name.Name] = true
			case *ast.ValueSpec:
				for _, name := range n.Names {
					names[name.Name] = true
				}
			case *ast.Field:
				for _, name := range n.Names {
					names[name.Name] = true
				}
			}
			return true
		})
	})
	return names
}

// The introductory pages refer to code by name, so each name must be declared.
func TestPagesForNewcomersNameDeclaredItems(t *testing.T) {
	declared := declaredNames(t)
	for _, page := range []string{"docs/architecture.md", "docs/glossary.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		found := namedItem.FindAllStringSubmatch(string(text), -1)
		if len(found) < 20 {
			t.Errorf("%s: found only %d names, want at least 20", page, len(found))
		}
		for _, item := range found {
			if strings.HasSuffix(item[1], ".go") {
				continue // a file
			}
			for name := range strings.SplitSeq(item[1], ".") {
				if !declared[name] {
					t.Errorf("%s names %s: %s is not declared", page, item[1], name)
				}
			}
		}
	}
}
