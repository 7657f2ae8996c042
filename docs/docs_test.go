// Package docs_test holds the pages of this folder against the code: what they
// name must exist.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// sourceTree is what the checks need of the code.
type sourceTree struct {
	packages  map[string]bool            // folders under internal and cmd, by their last part
	exported  map[string]map[string]bool // exported names at package level, by package
	functions map[string]bool            // all functions and methods, tests too, without their package
	events    map[string]bool            // values of the key "event" in lines of the log
}

// parseTree reads all Go files of the repository.
func parseTree(t *testing.T) *sourceTree {
	t.Helper()
	tree := &sourceTree{packages: map[string]bool{}, exported: map[string]map[string]bool{}, functions: map[string]bool{}, events: map[string]bool{}}
	for _, root := range []string{"../internal", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			tree.add(path, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return tree
}

func (s *sourceTree) add(path string, file *ast.File) {
	pkg := filepath.Base(filepath.Dir(path))
	s.packages[pkg] = true
	if s.exported[pkg] == nil {
		s.exported[pkg] = map[string]bool{}
	}
	for name := range file.Scope.Objects {
		s.exported[pkg][name] = true
	}
	test := strings.HasSuffix(path, "_test.go")
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			s.functions[node.Name.Name] = true
		case *ast.CallExpr:
			if !test {
				s.addEvent(node.Args)
			}
		case *ast.CompositeLit:
			if !test {
				s.addEvent(node.Elts)
			}
		}
		return true
	})
}

// addEvent notes the value that follows the key "event" in the arguments of a
// call that logs.
func (s *sourceTree) addEvent(arguments []ast.Expr) {
	for i := 0; i+1 < len(arguments); i++ {
		if stringLiteral(arguments[i]) != "event" {
			continue
		}
		if event := stringLiteral(arguments[i+1]); event != "" {
			s.events[event] = true
		}
	}
}

func stringLiteral(expression ast.Expr) string {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return value
}

// pages returns the text of each page, by its name.
func pages(t *testing.T) map[string]string {
	t.Helper()
	texts := map[string]string{}
	for _, pattern := range []string{"*.md", "incidents/*.md", "../README.md", "../CONTRIBUTING.md"} {
		names, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			texts[name] = string(text)
		}
	}
	return texts
}

// TestOperatePageListsEveryLogEvent compares the events of docs/operate.md with
// those that the code logs, both ways.
func TestOperatePageListsEveryLogEvent(t *testing.T) {
	tree := parseTree(t)
	text := pages(t)["operate.md"]
	listed := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+\\.[a-z_]+)` \\| (?:debug|info|warn|error)").FindAllStringSubmatch(text, -1) {
		if listed[row[1]] {
			t.Errorf("%s stands twice", row[1])
		}
		listed[row[1]] = true
	}
	if len(tree.events) == 0 {
		t.Fatal("no events found in the code")
	}
	for event := range tree.events {
		if !listed[event] {
			t.Errorf("the code logs %q, which docs/operate.md does not list", event)
		}
	}
	for event := range listed {
		if !tree.events[event] {
			t.Errorf("docs/operate.md lists %q, which the code does not log", event)
		}
	}
}

// TestLogEventsAreNamedSubjectAndVerb holds the form of the names of events.
func TestLogEventsAreNamedSubjectAndVerb(t *testing.T) {
	form := regexp.MustCompile(`^[a-z]+(_[a-z]+)*\.[a-z]+(_[a-z]+)*$`)
	for event := range parseTree(t).events {
		if !form.MatchString(event) {
			t.Errorf("%q is not of the form subject.verb_in_past", event)
		}
	}
}

// TestPagesNameWhatExists looks up the files, tests and exported names that the
// pages mention.
func TestPagesNameWhatExists(t *testing.T) {
	tree := parseTree(t)
	file := regexp.MustCompile(`\b([a-z]+)/([a-z_]+\.go)\b`)
	test := regexp.MustCompile(`\b((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]+)\b`)
	name := regexp.MustCompile(`\b([a-z]+)\.([A-Z][A-Za-z0-9]*)\b`)
	for page, text := range pages(t) {
		for _, match := range file.FindAllStringSubmatch(text, -1) {
			folder := filepath.Join("../internal", match[1])
			if match[1] == "tealpond" {
				folder = "../cmd/tealpond"
			}
			if !tree.packages[match[1]] {
				continue
			}
			if _, err := os.Stat(filepath.Join(folder, match[2])); err != nil {
				t.Errorf("%s names %s, which does not exist", page, match[0])
			}
		}
		for _, match := range test.FindAllString(text, -1) {
			if !tree.functions[match] {
				t.Errorf("%s names %s, which does not exist", page, match)
			}
		}
		for _, match := range name.FindAllStringSubmatch(text, -1) {
			if !tree.packages[match[1]] || tree.exported[match[1]][match[2]] || tree.functions[match[2]] {
				continue
			}
			t.Errorf("%s names %s, which does not exist", page, match[0])
		}
	}
}

// TestGlossaryNamesAreInTheCode looks up the third column of docs/GLOSSARY.md:
// each name in code must be declared somewhere.
func TestGlossaryNamesAreInTheCode(t *testing.T) {
	tree := parseTree(t)
	code := regexp.MustCompile("`([^`]+)`")
	rows := 0
	for _, line := range strings.Split(pages(t)["GLOSSARY.md"], "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || strings.Contains(line, "---") || strings.Contains(line, "name in code") {
			continue
		}
		rows++
		for _, match := range code.FindAllStringSubmatch(cells[3], -1) {
			parts := strings.Split(match[1], ".")
			if len(parts) == 1 && tree.packages[parts[0]] {
				continue
			}
			if len(parts) < 2 || !tree.packages[parts[0]] || !tree.exported[parts[0]][parts[1]] {
				t.Errorf("the glossary names %s, which does not exist", match[1])
			}
		}
	}
	if rows < 30 {
		t.Fatalf("only %d rows were found", rows)
	}
}

// floors reads the table of packages in docs/ARCHITECTURE.md: the floor of each,
// counted from the top.
func floors(t *testing.T) map[string]int {
	t.Helper()
	floor, floorOf := 0, map[string]int{}
	code := regexp.MustCompile("`(?:cmd/)?([a-z]+)`")
	_, table, _ := strings.Cut(pages(t)["ARCHITECTURE.md"], "| floor | package | job |")
	table, _, _ = strings.Cut(table, "\n\n")
	for _, line := range strings.Split(table, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || strings.Contains(line, "---") {
			continue
		}
		if strings.TrimSpace(cells[1]) != "" {
			floor++
		}
		for _, match := range code.FindAllStringSubmatch(cells[2], -1) {
			floorOf[match[1]] = floor
		}
	}
	return floorOf
}

// forTests are the packages that no daemon imports; they stand on no floor.
var forTests = map[string]bool{"trial": true, "simulation": true, "golden": true, "soak": true, "misuse": true, "standin": true, "localcluster": true}

// TestImportsNeverPointUp holds the table of packages against the imports.
func TestImportsNeverPointUp(t *testing.T) {
	floorOf := floors(t)
	paths, err := filepath.Glob("../internal/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		pkg := filepath.Base(filepath.Dir(path))
		if strings.HasSuffix(path, "_test.go") || forTests[pkg] {
			continue
		}
		if floorOf[pkg] == 0 {
			t.Errorf("docs/ARCHITECTURE.md does not list %s", pkg)
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			imported, own := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), "tealpond/internal/")
			if forTests[imported] {
				t.Errorf("%s imports %s, which is for tests", path, imported)
			}
			if own && floorOf[imported] < floorOf[pkg] {
				t.Errorf("%s imports %s, which is on a higher floor", path, imported)
			}
		}
	}
}

// TestPackagesHaveOneComment holds that each package says what it is for.
func TestPackagesHaveOneComment(t *testing.T) {
	folders, err := filepath.Glob("../internal/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		var commented []string
		for _, path := range files {
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.PackageClauseOnly)
			if err != nil {
				t.Fatal(err)
			}
			if file.Doc != nil && !strings.HasSuffix(path, "_test.go") {
				commented = append(commented, filepath.Base(path))
			}
		}
		slices.Sort(commented)
		if len(commented) != 1 {
			t.Errorf("%s: package comments in %v, want one", folder, commented)
		}
	}
}
