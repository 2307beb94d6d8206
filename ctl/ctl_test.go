package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"wigeondale/adminapi"
	"wigeondale/fleet"
	"wigeondale/intent"
	"wigeondale/quarantine"
)

// memLog is a log that works.
type memLog struct {
	mu      sync.Mutex
	entries []intent.LogEntry
	down    bool
}

func (m *memLog) Head(context.Context) (uint64, error) { return uint64(len(m.entries)), nil }

func (m *memLog) Read(_ context.Context, from uint64, _ int) ([]intent.LogEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, intent.ErrUnavailable
	}
	if from > uint64(len(m.entries)) {
		return nil, nil
	}
	return m.entries[from-1:], nil
}

func (m *memLog) AppendAt(_ context.Context, n uint64, id string, data []byte) (bool, intent.LogEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n <= uint64(len(m.entries)) {
		return m.entries[n-1].ID == id, m.entries[n-1], nil
	}
	m.entries = append(m.entries, intent.LogEntry{N: n, ID: id, Data: data})
	return true, m.entries[n-1], nil
}

func (m *memLog) Follow(ctx context.Context, _ uint64, _ func(intent.LogEntry)) error { return nil }
func (m *memLog) LoadSnapshot(context.Context) (uint64, []byte, bool, error) {
	return 0, nil, false, nil
}
func (m *memLog) Snapshot(context.Context, uint64, []byte) error { return nil }

type noPeers struct{}

func (noPeers) Peers() []string       { return nil }
func (noPeers) Flood(intent.Revision) {}
func (noPeers) FetchFrom(context.Context, string, uint64) (intent.Batch, error) {
	return intent.Batch{}, intent.ErrUnavailable
}

type members []adminapi.Node

func (m members) Nodes() []adminapi.Node { return m }

// bench is two nodes over one log; the first may lose its answers.
type bench struct {
	t     *testing.T
	log   *memLog
	addrs []string
	lose  bool // the first node acts on a confirmation and dies before answering
	nodes members
	held  held
}

// held are the requests that the nodes hold back.
type held []quarantine.Report

func (h *held) List() []quarantine.Report { return *h }

func (h *held) Lift(d quarantine.Digest, _ string) bool {
	before := len(*h)
	*h = slices.DeleteFunc(*h, func(e quarantine.Report) bool { return e.Digest == d.String() })
	return len(*h) < before
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, log: &memLog{}}
	for i := range 2 {
		k := intent.NewKeeper(intent.Config{Log: b.log, PeerClient: noPeers{}})
		k.Sync(t.Context())
		var ops []adminapi.Operator
		for name, role := range map[string]adminapi.Role{"eve": adminapi.Editor, "carl": adminapi.Confirmer} {
			sum := sha256.Sum256([]byte(name))
			ops = append(ops, adminapi.Operator{Name: name, TokenHash: hex.EncodeToString(sum[:]), Role: role})
		}
		api := adminapi.New(adminapi.Config{
			Node:       fmt.Sprint("n", i),
			Keeper:     k,
			Members:    &b.nodes,
			FleetView:  func(context.Context, []fleet.ModelRef) (intent.FleetView, error) { return intent.FleetView{}, nil },
			Operators:  ops,
			PlanKey:    []byte("plan key"),
			Quarantine: &b.held,
		})
		srv := httptest.NewServer(b.losing(i, api))
		t.Cleanup(srv.Close)
		b.addrs = append(b.addrs, strings.TrimPrefix(srv.URL, "http://"))
	}
	return b
}

func (b *bench) losing(i int, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i != 0 || !b.lose || !strings.HasSuffix(r.URL.Path, "/confirm") {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// run runs the tool and returns its exit code and what it printed.
func (b *bench) run(token string, argv ...string) (int, string) {
	b.t.Helper()
	var out bytes.Buffer
	env := Env{Stdin: strings.NewReader("n\n"), Stdout: &out, Stderr: &out}
	env.Getenv = func(string) string { return token }
	argv = append([]string{"-admin", strings.Join(b.addrs, ",")}, argv...)
	code := Main(b.t.Context(), argv, env)
	return code, out.String()
}

func (b *bench) expect(code int, text, token string, argv ...string) {
	b.t.Helper()
	got, out := b.run(token, argv...)
	if got != code || !strings.Contains(out, text) {
		b.t.Errorf("%v: exit %d, want %d with %q; printed:\n%s", argv, got, code, text, out)
	}
}

// Guards against: a request stays held back though an operator knows better, or one without the
// right to it has it sent on.
func TestOperatorsListAndLiftHeldRequests(t *testing.T) {
	b := newBench(t)
	digest := strings.Repeat("ab", 16)
	b.held = held{{Digest: digest, Account: "acme", HeldForMS: 60_000, Crashes: []quarantine.ReportedCrash{{Backend: "e1", AgeMS: 5}}}}
	b.expect(ExitOK, digest+"  acme     1m0s      e1 age_ms=5 from=here", "eve", "quarantine")
	b.expect(ExitRefused, "role", "eve", "quarantine", "--lift", digest)
	b.expect(ExitUsage, "digits", "carl", "quarantine", "--lift", "zz")
	b.expect(ExitOK, "", "carl", "quarantine", "--lift", digest)
	b.expect(ExitUsage, "no such request", "carl", "quarantine", "--lift", digest)
}

// Symptom: one confirmation becomes two changes, or the tool reports a failure
// for a plan that is in force. Sequence: the node that takes the confirmation
// appends it and dies before it answers; the tool asks the next node. Cause: the
// second node doesn't look for the plan in the log.
func TestConfirmAtAnotherNode(t *testing.T) {
	b := newBench(t)
	b.nodes = members{{ID: "n0", Revision: 1, Reachable: true}, {ID: "n1", Revision: 1, Reachable: true}}
	b.lose = true
	b.expect(ExitOK, "revision 1 in force on 2 of 2 nodes", "carl", "apply", "-f", "../examples/demo/intents.json", "-yes")
	if len(b.log.entries) != 1 {
		t.Fatalf("the log has %d entries, want 1", len(b.log.entries))
	}
	b.expect(ExitOK, "access/acme-notas/redactor-llm", "carl", "state")
	b.nodes[1].Reachable = false
	b.expect(ExitUnreachable, "not heard from: n1", "carl", "apply", "-yes", "-wait-timeout", "1ms", "leave", "vm-1")
}

func TestExitCodes(t *testing.T) {
	b := newBench(t)
	plan := filepath.Join(t.TempDir(), "plan.json")
	b.expect(ExitUsage, "unauthorized", "nobody", "status")
	b.expect(ExitUsage, "VERSION=PERCENT", "carl", "plan", "traffic", "m", "v1")
	b.expect(ExitRefused, "sum to 100", "carl", "plan", "traffic", "m", "v1=90")
	b.expect(ExitRefused, "not confirmed", "carl", "apply", "traffic", "m", "v1=100")
	b.expect(ExitOK, "traffic/m", "eve", "plan", "-o", plan, "traffic", "m", "v1=100")
	b.expect(ExitRefused, "forbidden", "eve", "confirm", plan)
	b.tampered(plan)
	b.nodes = members{{ID: "n0", Revision: 1, Reachable: true}}
	b.expect(ExitOK, "in force on 1 of 1", "carl", "apply", "-yes", "traffic", "m", "v2=100")
	b.expect(ExitRefused, "a new plan for the same intents", "carl", "confirm", plan)
	b.log.down = true
	b.expect(ExitUnreachable, "unavailable", "carl", "confirm", plan)
	b.addrs = []string{"127.0.0.1:1"}
	b.expect(ExitUnreachable, "unreachable", "carl", "status")
}

// tampered confirms a copy of a plan in which a weight was changed.
func (b *bench) tampered(plan string) {
	b.t.Helper()
	raw, err := os.ReadFile(plan)
	if err != nil {
		b.t.Fatal(err)
	}
	file := plan + ".changed"
	if err := os.WriteFile(file, bytes.ReplaceAll(raw, []byte(`"v1"`), []byte(`"v9"`)), 0o600); err != nil {
		b.t.Fatal(err)
	}
	b.expect(ExitRefused, "signature", "carl", "confirm", file)
}

// Symptom: the tool says that nothing was changed, yet the plan is in force.
// Sequence: the first node acts and dies, and no other can be reached. Cause:
// the last failure, a refused dial, hides the one that left the outcome open.
func TestDoubtIsReported(t *testing.T) {
	b := newBench(t)
	plan := filepath.Join(t.TempDir(), "plan.json")
	b.expect(ExitOK, "", "carl", "plan", "-o", plan, "leave", "vm-1")
	b.lose = true
	b.addrs = []string{b.addrs[0], "127.0.0.1:1"}
	b.expect(ExitUnsettled, "confirm the same plan again", "carl", "confirm", plan)
}
