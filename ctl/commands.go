package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"wigeondale/adminapi"
	"wigeondale/clock"
	"wigeondale/intent"
	"wigeondale/quarantine"
)

// statusInterval is the interval between status queries while waiting.
const statusInterval = 300 * time.Millisecond

func (t *tool) plan(ctx context.Context) error {
	sp, err := t.makePlan(ctx, &t.args.Plan.source)
	if err != nil {
		return err
	}
	t.printPlan(sp)
	return refusedPlan(sp.Plan)
}

func (t *tool) makePlan(ctx context.Context, s *source) (adminapi.SignedPlan, error) {
	var sp adminapi.SignedPlan
	in, err := s.intents(t.env.Stdin)
	if err != nil {
		return sp, err
	}
	if err := t.api.call(ctx, http.MethodPost, "/admin/v1/plans", in, &sp); err != nil {
		return sp, err
	}
	if s.Out == "" {
		return sp, nil
	}
	b, err := json.MarshalIndent(sp, "", "  ")
	if err != nil {
		return sp, Error.Wrap(err)
	}
	if err := os.WriteFile(s.Out, append(b, '\n'), 0o600); err != nil {
		return sp, Error.New("%w: %w", ErrUsage, err)
	}
	return sp, nil
}

func refusedPlan(p intent.Plan) error {
	if !p.Refused() {
		return nil
	}
	c := p.Conflicts[0]
	return Error.New("%w: %s: %s", ErrRefused, c.Object, c.Reason)
}

func (t *tool) confirm(ctx context.Context) error {
	var sp adminapi.SignedPlan
	if err := readJSON(t.args.Confirm.File, t.env.Stdin, &sp); err != nil {
		return err
	}
	return t.confirmPlan(ctx, sp, t.args.Confirm.waitOptions)
}

func (t *tool) apply(ctx context.Context) error {
	cmd := t.args.Apply
	sp, err := t.makePlan(ctx, &cmd.source)
	if err != nil {
		return err
	}
	t.printPlan(sp)
	if err := refusedPlan(sp.Plan); err != nil {
		return err
	}
	if !cmd.Yes && !t.askConfirmation() {
		return Error.New("%w: not confirmed", ErrRefused)
	}
	cmd.Wait = true
	return t.confirmPlan(ctx, sp, cmd.waitOptions)
}

func (t *tool) askConfirmation() bool {
	fmt.Fprint(t.env.Stderr, "Confirm this plan? [y/N] ")
	line, err := bufio.NewReader(t.env.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return false
	}
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}

func (t *tool) confirmPlan(ctx context.Context, sp adminapi.SignedPlan, w waitOptions) error {
	acc, err := t.api.confirm(ctx, sp)
	if err != nil {
		t.printNewPlan(err)
		return err
	}
	if t.args.JSON {
		t.printJSON(acc)
	} else {
		fmt.Fprintf(t.env.Stdout, "plan %s accepted as revision %d\n", acc.PlanID, acc.Revision)
	}
	if !w.Wait {
		return nil
	}
	return t.wait(ctx, acc.Revision, w.WaitTimeout)
}

// printNewPlan prints the new plan that a node offers in place of one with conflicts.
func (t *tool) printNewPlan(err error) {
	var r *refusal
	if !errors.As(err, &r) || r.problem.NewPlan == nil {
		return
	}
	fmt.Fprintln(t.env.Stderr, "wigeonctl: a new plan for the same intents:")
	t.printPlan(*r.problem.NewPlan)
}

// wait prints on how many nodes a revision is in force until it is in force on all of them.
// The limit ends the waiting between two status queries, but does not abort a query. If a
// query were aborted, the error would not say which nodes are unreachable.
func (t *tool) wait(parent context.Context, revision uint64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	shown := ""
	for {
		var s adminapi.Status
		err := t.api.call(parent, http.MethodGet, "/admin/v1/status", nil, &s)
		line, all := progress(s, revision)
		if err != nil {
			line, all = "no node answers: "+err.Error(), false
		}
		if line != shown && parent.Err() == nil {
			fmt.Fprintln(t.progressOut(), line)
			shown = line
		}
		if all {
			return nil
		}
		if !clock.Sleep(ctx, statusInterval) {
			return Error.New("%w: revision %d is accepted; at the time limit: %s", ErrUnreachable, revision, shown)
		}
	}
}

// progress describes where a revision is in force, and reports whether the revision is in
// force on all nodes.
func progress(s adminapi.Status, revision uint64) (string, bool) {
	inForce := 0
	var behind, notHeard []string
	for _, n := range s.Nodes {
		switch {
		case !n.Reachable:
			notHeard = append(notHeard, n.ID)
		case n.Revision >= revision:
			inForce++
		default:
			behind = append(behind, n.ID)
		}
	}
	slices.Sort(behind)
	slices.Sort(notHeard)
	line := fmt.Sprintf("revision %d in force on %d of %d nodes", revision, inForce, len(s.Nodes))
	if len(behind) > 0 {
		line += "; waiting for " + strings.Join(behind, ", ")
	}
	if len(notHeard) > 0 {
		line += "; not heard from: " + strings.Join(notHeard, ", ")
	}
	return line, inForce > 0 && inForce == len(s.Nodes)
}

func (t *tool) status(ctx context.Context) error {
	var s adminapi.Status
	if err := t.api.call(ctx, http.MethodGet, "/admin/v1/status", nil, &s); err != nil {
		return err
	}
	t.printStatus(s)
	return nil
}

func (t *tool) state(ctx context.Context) error {
	var s intent.State
	if err := t.api.call(ctx, http.MethodGet, "/admin/v1/state", nil, &s); err != nil {
		return err
	}
	t.printState(s)
	return nil
}

func (t *tool) quarantine(ctx context.Context) error {
	if digest := t.args.Quarantine.Lift; digest != "" {
		var lifted adminapi.LiftResult
		return t.api.call(ctx, http.MethodPost, "/admin/v1/quarantine/"+url.PathEscape(digest)+"/lift", nil, &lifted)
	}
	var list []quarantine.Report
	if err := t.api.call(ctx, http.MethodGet, "/admin/v1/quarantine", nil, &list); err != nil {
		return err
	}
	var parts []quarantine.PartReport
	if err := t.api.call(ctx, http.MethodGet, "/admin/v1/quarantine/parts", nil, &parts); err != nil {
		return err
	}
	t.printQuarantine(list, parts)
	return nil
}

func (t *tool) backends(ctx context.Context) error {
	var list []adminapi.BackendStatus
	if err := t.api.call(ctx, http.MethodGet, "/admin/v1/backends", nil, &list); err != nil {
		return err
	}
	t.printBackends(list)
	return nil
}

func (t *tool) revisions(ctx context.Context) error {
	var list []intent.Revision
	path := fmt.Sprintf("/admin/v1/revisions?from=%d", t.args.Revisions.From)
	if err := t.api.call(ctx, http.MethodGet, path, nil, &list); err != nil {
		return err
	}
	t.printRevisions(list)
	return nil
}

func (t *tool) dump(ctx context.Context) error {
	var v json.RawMessage
	if err := t.api.call(ctx, http.MethodGet, "/debug/dump", nil, &v); err != nil {
		return err
	}
	t.printJSON(v)
	return nil
}
