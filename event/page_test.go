package event_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"wigeondale/event"
)

const page = "../docs/EVENTS.md"

var update = flag.Bool("update", false, "write docs/EVENTS.md anew")

const pageHead = `# Events

Each log event has a number that never changes its meaning. Alert on the number:
it is the value of ` + "`event`" + ` in the line that klog writes. ` + "`node`" + ` names the process.
Warnings are written at klog's info level with ` + "`warning:`" + ` before the name.

This page is made from the table in ` + "`event/catalogue.go`" + `, and a test checks that the two
agree. After a change of the table run

    go test ./event -run TestPage -update

`

// ranges names, for each hundred of event numbers, the packages that write those events.
var ranges = []struct {
	hundred  int
	title    string
	packages []string
}{
	{10, "The platform's services", []string{"infra"}},
	{11, "Log in the key-value service, at-most-once claims", []string{"kvlog", "once"}},
	{12, "Links between routers, membership", []string{"peer"}},
	{13, "Failure detection, routing, admission", []string{"health", "routing", "admission", "directory", "hedge"}},
	{14, "Generations, calls to backend servers", []string{"generation", "backend"}},
	{15, "Caller API", []string{"callerapi"}},
	{16, "Configuration, administration, orders", []string{"intent", "adminapi", "order"}},
	{17, "Settings, start and end of the process", []string{"settings", "daemon", "listen", "hosted", "reload"}},
	{18, "Inventory of VMs", []string{"inventory"}},
	{19, "Users' platform: routes, replicas, opaque requests, other nodes", []string{"hosted", "relay"}},
	{20, "Users' platform: its store", []string{"mirror"}},
	{21, "Requests under which backend servers crash", []string{"quarantine"}},
	{22, "What backend servers ask of the routers", []string{"backpressure", "hosted", "daemon"}},
	{23, "Routers that are cut off from backend servers", []string{"reach", "forward", "generation", "hosted"}},
	{24, "Software versions of streams", []string{"binding", "generation", "hosted"}},
	{25, "Retry budget that routers share", []string{"hosted"}},
	{27, "Order of waiting requests over all routers", []string{"hosted"}},
	{28, "Expected cost of requests", []string{"cost", "hosted"}},
}

var severities = map[event.Severity]string{event.Info: "info", event.Warning: "warning", event.Error: "error"}

// split returns the first sentence of an entry's text, which says what happened, and
// the rest.
func split(text string) (meaning, action string) {
	meaning, action, found := strings.Cut(text, ". ")
	if !found {
		return meaning, "–"
	}
	return meaning + ".", action
}

func render() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, r := range ranges {
		var rows []string
		for _, e := range event.Catalogue {
			if int(e.ID)/100 != r.hundred {
				continue
			}
			meaning, action := split(e.Text)
			rows = append(rows, fmt.Sprintf("| %d | %s | %s | %s | %s |\n", int(e.ID), e.Name, severities[e.Severity], meaning, action))
		}
		if len(rows) == 0 {
			continue
		}
		fmt.Fprintf(&b, "## %dxx: %s\n\n| number | name | severity | meaning | what follows, what to do |\n| --- | --- | --- | --- | --- |\n%s\n",
			r.hundred, r.title, strings.Join(rows, ""))
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// TestPage compares docs/EVENTS.md with the catalogue, so that a missing row, a row without
// an event, and a wrong name, severity or text are all found.
func TestPage(t *testing.T) {
	want := render()
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(string(got), "\n")
	for _, line := range wantLines {
		if !slices.Contains(gotLines, line) {
			t.Errorf("the page has no line: %s", line)
		}
	}
	for _, line := range gotLines {
		if !slices.Contains(wantLines, line) {
			t.Errorf("the page has a line that is not in the catalogue: %s", line)
		}
	}
	if !t.Failed() && want != string(got) {
		t.Error("the page's lines are in a different order")
	}
	if t.Failed() {
		t.Log("go test ./event -run TestPage -update")
	}
}

// constants returns the ID constants of the package by name.
func constants(t *testing.T) map[string]event.ID {
	t.Helper()
	fset := token.NewFileSet()
	var files []*ast.File
	for _, name := range []string{"ids.go", "catalogue.go"} {
		file, err := parser.ParseFile(fset, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	pkg, err := new(types.Config).Check("event", fset, files, nil)
	if err != nil {
		t.Fatal(err)
	}
	ids := map[string]event.ID{}
	for _, name := range pkg.Scope().Names() {
		c, ok := pkg.Scope().Lookup(name).(*types.Const)
		if !ok || c.Type() != pkg.Scope().Lookup("ID").Type() {
			continue
		}
		n, _ := constant.Int64Val(c.Val())
		ids[name] = event.ID(n)
	}
	return ids
}

// A number used twice, or missing in the catalogue, would make an alert fire for another
// event, or an event be logged as "unlisted".
func TestCatalogueHasEachIDOnce(t *testing.T) {
	times := map[event.ID]int{}
	names := map[string]bool{}
	last := event.ID(0)
	for _, e := range event.Catalogue {
		times[e.ID]++
		if e.ID <= last {
			t.Errorf("%d comes after %d", e.ID, last)
		}
		last = e.ID
		if names[e.Name] || e.Name == "" || e.Text == "" || severities[e.Severity] == "" {
			t.Errorf("%d: name %q is used twice, or a field is empty", e.ID, e.Name)
		}
		names[e.Name] = true
	}
	byID := map[event.ID]string{}
	for name, id := range constants(t) {
		if other, taken := byID[id]; taken {
			t.Errorf("%s and %s are both %d", name, other, id)
		}
		byID[id] = name
		if times[id] != 1 {
			t.Errorf("%s (%d) is in the catalogue %d times", name, id, times[id])
		}
	}
	for id := range times {
		if byID[id] == "" {
			t.Errorf("%d in the catalogue has no constant", id)
		}
	}
}

// Each package may only write events of its own range, so that the number shows where
// to look; and each event must be written somewhere.
func TestEventsAreWrittenByTheirPackage(t *testing.T) {
	ids := constants(t)
	used := map[string]bool{}
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		dir := filepath.Base(filepath.Dir(name))
		for _, id := range mentioned(t, name, ids) {
			used[id] = true
			if !owns(dir, ids[id]) {
				t.Errorf("package %s writes %s (%d), which is not in its range", dir, id, ids[id])
			}
		}
	}
	for name, id := range ids {
		if !used[name] {
			t.Errorf("%s (%d) is never written", name, id)
		}
	}
}

func owns(dir string, id event.ID) bool {
	for _, r := range ranges {
		if r.hundred == int(id)/100 {
			return slices.Contains(r.packages, dir)
		}
	}
	return false
}

// mentioned lists the constants of package event that a file names.
func mentioned(t *testing.T, name string, ids map[string]event.ID) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		pkg, ok := sel.X.(*ast.Ident)
		if _, listed := ids[sel.Sel.Name]; ok && listed && pkg.Name == "event" {
			found = append(found, sel.Sel.Name)
		}
		return true
	})
	return found
}
