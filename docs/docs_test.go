// Package docs holds the tests that keep the pages true to the program.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// sources reads the Go files of the daemon's packages; stand-ins and the load
// generator serve no metrics to operators.
func sources(t *testing.T) string {
	t.Helper()
	files, err := filepath.Glob("../*/*.go")
	if err != nil || len(files) == 0 {
		t.Fatal("no source files", err)
	}
	var b strings.Builder
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || filepath.Base(filepath.Dir(name)) == "load" {
			continue
		}
		b.WriteString(read(t, name))
	}
	return b.String()
}

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func all(re, text string) []string {
	var found []string
	for _, m := range regexp.MustCompile(re).FindAllStringSubmatch(text, -1) {
		found = append(found, m[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

func compare(t *testing.T, what string, program, page []string) {
	t.Helper()
	for _, name := range program {
		if !slices.Contains(page, name) {
			t.Errorf("%s %s is not in the page", what, name)
		}
	}
	for _, name := range page {
		if !slices.Contains(program, name) {
			t.Errorf("%s %s is in the page only", what, name)
		}
	}
}

// An alert on a metric that the program doesn't have never fires.
func TestMetricsArePaged(t *testing.T) {
	program := all("[\"`](wigeon_[a-z_]+)", sources(t))
	page := all("\\b(wigeon_[a-z_]+)\\b", read(t, "OPERATIONS.md"))
	compare(t, "metric", program, page)
}

func TestDumpSectionsArePaged(t *testing.T) {
	program := all(`dumps\.Add\("([a-z_]+)"`, read(t, "../daemon/node.go"))
	_, page, _ := strings.Cut(read(t, "OPERATIONS.md"), "## State dump")
	page, _, _ = strings.Cut(page, "\n## ")
	compare(t, "dump section", program, all("(?m)^\\| `([a-z_]+)` \\|", page))
}

// A row of PROOFS.md that names a test which no longer exists proves nothing.
func TestProofsNameTestsThatExist(t *testing.T) {
	var tests strings.Builder
	files, err := filepath.Glob("../*/*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		dir := filepath.Base(filepath.Dir(name))
		for _, f := range all(`(?m)^func (Test\w+|Fuzz\w+)\(`, read(t, name)) {
			tests.WriteString(dir + "." + f + "\n")
		}
	}
	scripts, err := filepath.Glob("../scenario/testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range scripts {
		tests.WriteString("scenario/" + strings.TrimSuffix(filepath.Base(name), ".txtar") + "\n")
	}
	known := strings.Split(tests.String(), "\n")
	pages := read(t, "PROOFS.md") + read(t, "design/values-read.md")
	named := all("`((?:[a-z]+\\.(?:Test|Fuzz)\\w+)|(?:scenario/[a-z_]+))`", pages)
	if len(named) == 0 {
		t.Fatal("the page names no test")
	}
	for _, name := range named {
		if !slices.Contains(known, name) {
			t.Errorf("%s is named and does not exist", name)
		}
	}
}

// A link to a page that doesn't exist leaves an operator without instructions during a failure.
func TestLinksLead(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, "../README.md", "../CONTRIBUTING.md")
	for _, page := range pages {
		for _, link := range all(`\]\(([^)#:]+)[^):]*\)`, read(t, page)) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), link)); err != nil {
				t.Errorf("%s: the link %s leads nowhere", page, link)
			}
		}
	}
}
