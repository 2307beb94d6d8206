package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"wigeondale/adminapi"
	"wigeondale/fleet"
	"wigeondale/intent"
	"wigeondale/quarantine"
)

// progressOut returns where progress lines go: standard error if the output is JSON.
func (t *tool) progressOut() io.Writer {
	if t.args.JSON {
		return t.env.Stderr
	}
	return t.env.Stdout
}

func (t *tool) printJSON(v any) {
	e := json.NewEncoder(t.env.Stdout)
	e.SetIndent("", "  ")
	// An error can't be reported when standard output can't be written.
	_ = e.Encode(v)
}

// table prints rows; the first one is the heading.
func (t *tool) table(rows [][]string) {
	w := tabwriter.NewWriter(t.env.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func (t *tool) printPlan(sp adminapi.SignedPlan) {
	if t.args.JSON {
		t.printJSON(sp)
		return
	}
	p, out := sp.Plan, t.env.Stdout
	fmt.Fprintf(out, "plan %s at revision %d\n\nchanges:\n", p.ID, p.Base)
	for _, d := range p.Diffs {
		fmt.Fprintf(out, "  %s\n    - %s\n    + %s\n", d.Object, d.Before, d.After)
	}
	printList(out, "steps", p.Steps)
	for i, w := range p.Waves {
		fmt.Fprintf(out, "\nwave %d (%d bytes, about %.0f s):\n", i+1, w.Bytes, w.Seconds)
		for _, l := range w.Loads {
			fmt.Fprintf(out, "  %s loads %s (%d bytes)\n", l.Backend, l.Ref, l.Bytes)
		}
	}
	fmt.Fprintf(out, "\nweight store: %d bytes, about %.0f s\n", p.WeightBytes, p.WeightSeconds)
	if len(p.CapacityLeft) > 0 {
		fmt.Fprintln(out, "\nreplicas:")
	}
	for _, c := range p.CapacityLeft {
		fmt.Fprintf(out, "  %s: %d before, %d after\n", c.Ref, c.Before, c.After)
	}
	printList(out, "warnings", p.Warnings)
	var conflicts []string
	for _, c := range p.Conflicts {
		conflicts = append(conflicts, c.Object+": "+c.Reason)
	}
	printList(out, "conflicts", conflicts)
}

func printList(out io.Writer, title string, list []string) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(out, "\n%s:\n", title)
	for _, s := range list {
		fmt.Fprintln(out, "  "+s)
	}
}

func (t *tool) printStatus(s adminapi.Status) {
	if t.args.JSON {
		t.printJSON(s)
		return
	}
	fmt.Fprintf(t.env.Stdout, "revision %d in force on %d of %d nodes\n", s.Revision, s.InForce, len(s.Nodes))
	if !s.Ready {
		fmt.Fprintf(t.env.Stdout, "%s is not ready: %s\n", s.Node, s.Reason)
	}
	rows := [][]string{{"NODE", "FAILURE DOMAIN", "REVISION", "HEARD"}}
	for _, n := range s.Nodes {
		rows = append(rows, []string{n.ID, n.FailureDomain, fmt.Sprint(n.Revision), yesNo(n.Reachable)})
	}
	t.table(rows)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (t *tool) printState(s intent.State) {
	if t.args.JSON {
		t.printJSON(s)
		return
	}
	fmt.Fprintf(t.env.Stdout, "revision %d\n", s.Revision)
	rows := [][]string{{"OBJECT", "VALUE"}}
	rows = append(rows, objectRows("account/", s.Accounts)...)
	rows = append(rows, objectRows("access/", s.Access)...)
	rows = append(rows, objectRows("traffic/", s.Traffic)...)
	rows = append(rows, objectRows("vm/", s.VMs)...)
	rows = append(rows, objectRows("placement/", s.Placement)...)
	t.table(rows)
}

func objectRows[V any](prefix string, m map[string]V) [][]string {
	var rows [][]string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		b, err := json.Marshal(m[k])
		if err != nil {
			continue
		}
		rows = append(rows, []string{prefix + k, string(b)})
	}
	return rows
}

func (t *tool) printBackends(list []adminapi.BackendStatus) {
	if t.args.JSON {
		t.printJSON(list)
		return
	}
	rows := [][]string{{"BACKEND", "VM", "FAILURE DOMAIN", "HEALTH", "IN FLIGHT", "LEAVING", "SERVES"}}
	for _, b := range list {
		row := []string{b.Backend.ID, b.Backend.VM, b.Backend.FailureDomain, b.Health}
		row = append(row, fmt.Sprint(b.InFlight), yesNo(b.Leaving), refs(b.Serves))
		rows = append(rows, row)
	}
	t.table(rows)
}

func refs(list []fleet.ModelRef) string {
	var names []string
	for _, r := range list {
		names = append(names, r.String())
	}
	return strings.Join(names, " ")
}

func (t *tool) printRevisions(list []intent.Revision) {
	if t.args.JSON {
		t.printJSON(list)
		return
	}
	rows := [][]string{{"REVISION", "PLAN", "OPERATOR", "BASE", "OBJECTS"}}
	for _, r := range list {
		var objects []string
		for _, c := range r.Changes {
			objects = append(objects, c.Object())
		}
		row := []string{fmt.Sprint(r.N), r.PlanID, r.Operator, fmt.Sprint(r.Base), strings.Join(objects, " ")}
		rows = append(rows, row)
	}
	t.table(rows)
}

// quarantineList is the JSON output of the quarantine command.
type quarantineList struct {
	Requests []quarantine.Report     `json:"requests"`
	Parts    []quarantine.PartReport `json:"parts"`
}

func (t *tool) printQuarantine(requests []quarantine.Report, parts []quarantine.PartReport) {
	if t.args.JSON {
		t.printJSON(quarantineList{requests, parts})
		return
	}
	rows := [][]string{{"KIND", "DIGEST", "ACCOUNTS", "MODELS", "HELD FOR", "CRASHES"}}
	for i := range requests {
		e := &requests[i]
		rows = append(rows, []string{"request", e.Digest, e.Account, "", heldFor(e.HeldForMS, false), e.String()})
	}
	for i := range parts {
		e := &parts[i]
		rows = append(rows, []string{"part", e.Digest, strings.Join(e.Accounts, ","), strings.Join(e.Models, ","), heldFor(e.HeldForMS, e.Trial), e.String()})
	}
	t.table(rows)
}

// heldFor returns how much longer a request or part is quarantined. trial reports that single requests are still sent.
func heldFor(ms int64, trial bool) string {
	if ms <= 0 {
		return "no"
	}
	text := (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
	if trial {
		text += ", trials"
	}
	return text
}
