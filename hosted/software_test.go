package hosted

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

// startSoftware starts n engines of a software version, alternately in two failure domains. Their
// chunks name the version.
func (f *testFleet) startSoftware(version string, n, chunks int) []*fakes.Replica {
	var out []*fakes.Replica
	for i := range n {
		out = append(out, f.startReplica(&fakes.Replica{
			ID: fmt.Sprintf("%s-%d", version, i), Service: "llm", Domain: fmt.Sprintf("d%d", i%2), Version: version,
			Engine: true, ShowsVersion: true, Chunks: chunks, ChunkGap: 10 * time.Millisecond,
		}))
	}
	return out
}

// piece is one chunk of a stream of an engine that shows its version.
type piece struct {
	id      string // of the attempt
	number  int
	version string
}

// readPieces reads up to n pieces of a stream, or all if n is 0.
func readPieces(r *bufio.Reader, n int) ([]piece, error) {
	var out []piece
	for n == 0 || len(out) < n {
		line, err := r.ReadString('\n')
		if err != nil {
			return out, err
		}
		text, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		var p piece
		id, rest, _ := strings.Cut(text, "/")
		number, version, _ := strings.Cut(rest, "@")
		if _, err := fmt.Sscan(number, &p.number); err != nil {
			return out, err
		}
		p.id, p.version = id, version
		out = append(out, p)
	}
	_, err := r.ReadString('\n') // the empty line that ends the chunk
	return out, err
}

// versionsOf returns the versions of pieces, each once.
func versionsOf(pieces []piece) []string {
	var out []string
	seen := map[string]bool{}
	for _, p := range pieces {
		if !seen[p.version] {
			seen[p.version] = true
			out = append(out, p.version)
		}
	}
	return out
}

// clientStream is a stream that a client reads.
type clientStream struct {
	id     string
	body   *bufio.Reader
	leave  context.CancelFunc
	pieces []piece
}

// begin requests a generation and reads its first pieces.
func (n *testNode) begin(id string) *clientStream {
	n.t.Helper()
	g, status := n.resume(id, "", 0)
	if status != http.StatusOK {
		n.t.Fatalf("%s: status %d", id, status)
	}
	g.read(n.t, 3)
	return g
}

// resume requests the rest of a generation that began as an earlier attempt.
func (n *testNode) resume(id, beganAs string, last int) (*clientStream, int) {
	n.t.Helper()
	ctx, leave := context.WithCancel(n.t.Context())
	n.t.Cleanup(leave)
	req, err := fakes.ClientRequest{
		Addr: n.front.Addr().String(), Path: "/draft/x", ID: id, Key: key, Budget: 15 * time.Second, Prompt: "aa:40,cc:60",
		LastChunk: last, BeganAs: beganAs,
	}.HTTPRequest()
	if err != nil {
		n.t.Fatal(err)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req.WithContext(ctx))
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { resp.Body.Close() })
	return &clientStream{id: id, body: bufio.NewReader(resp.Body), leave: leave}, resp.StatusCode
}

func (g *clientStream) read(t *testing.T, n int) {
	t.Helper()
	got, err := readPieces(g.body, n)
	if err != nil && err != io.EOF {
		t.Fatalf("%s: %v after %d pieces", g.id, err, len(g.pieces)+len(got))
	}
	g.pieces = append(g.pieces, got...)
}

// twoVersions starts four engines of each of two software versions, and nodes that know them.
func (f *testFleet) twoVersions(chunks int, ids ...string) (engines []*fakes.Replica, nodes []*testNode) {
	engines = append(f.startSoftware("v1", 4, chunks), f.startSoftware("v2", 4, chunks)...)
	f.configure(key)
	for _, id := range ids {
		nodes = append(nodes, f.startNode(id))
	}
	for _, n := range nodes {
		await(f.t, "readiness", n.ready)
		await(f.t, "engines", func() bool { return len(n.dir.Service("llm")) == len(engines) })
	}
	return engines, nodes
}

// Guards against an answer whose later pieces come from another software version, after its engine crashed.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	f := newFleet(t)
	engines, nodes := f.twoVersions(60, "n1")
	for i := range 3 {
		g := nodes[0].begin(fmt.Sprint("q", i))
		running(engines, g.id).Crash()
		g.read(t, 0)
		if v := versionsOf(g.pieces); len(v) != 1 || len(g.pieces) != 60 {
			t.Errorf("%s: %d pieces of versions %v", g.id, len(g.pieces), v)
		}
	}
}

// Guards against a stream that a client takes up at another router and that goes on at another software version.
func TestStreamTakenUpAtAnotherRouterKeepsItsSoftwareVersion(t *testing.T) {
	f := newFleet(t)
	_, nodes := f.twoVersions(60, "n1", "n2", "n3")
	for i := range 12 {
		g := nodes[0].begin(fmt.Sprint("q", i))
		g.leave()
		began, last := g.id, len(g.pieces)
		for k, n := range nodes[1:] { // each names the attempt that brought the first piece
			next, status := n.resume(fmt.Sprintf("%s-%d", g.id, k), began, last)
			if status != http.StatusOK {
				t.Errorf("%s at %s: status %d", next.id, n.set.Node.ID, status)
				continue
			}
			next.read(t, 3)
			next.leave()
			g.pieces = append(g.pieces, next.pieces...)
			last = len(g.pieces)
		}
		if v := versionsOf(g.pieces); len(v) != 1 {
			t.Errorf("%s: pieces of versions %v", g.id, v)
		}
	}
}

// Guards against a guess of the version at which a stream began that no router knows.
func TestStreamOfAnUnknownSoftwareVersionIsRefused(t *testing.T) {
	f := newFleet(t)
	engines, nodes := f.twoVersions(60, "n1", "n2")
	_, status := nodes[0].resume("q-2", "never-seen", 5)
	if status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	if n := fakes.CountRuns(engines); n != 0 {
		t.Errorf("%d runs of a request that was refused as not run", n)
	}
}

// Guards against a router that knows of two software versions and not which of them began a stream that another has
// begun while the service had one version.
func TestStreamBegunBeforeTheSecondSoftwareVersionKeepsItsOwn(t *testing.T) {
	f := newFleet(t)
	f.startSoftware("v1", 4, 400)
	f.configure(key)
	nodes := []*testNode{f.startNode("n1"), f.startNode("n2")}
	for _, n := range nodes {
		await(t, "readiness", n.ready)
		await(t, "engines", func() bool { return len(n.dir.Service("llm")) == 4 })
	}
	var begun []*clientStream
	for i := range 6 {
		begun = append(begun, nodes[0].begin(fmt.Sprint("q", i)))
	}
	f.startSoftware("v2", 8, 400)
	for _, n := range nodes {
		await(t, "engines", func() bool { return len(n.dir.Service("llm")) == 12 })
	}
	time.Sleep(500 * time.Millisecond)
	for _, g := range begun {
		g.leave()
		next, status := nodes[1].resume(g.id+"-2", g.id, 3)
		if status != http.StatusOK {
			t.Errorf("%s: status %d", next.id, status)
			continue
		}
		next.read(t, 3)
		next.leave()
		if v := versionsOf(append(g.pieces, next.pieces...)); len(v) != 1 {
			t.Errorf("%s: pieces of versions %v", g.id, v)
		}
	}
}

// runsBegin lists the calls that begin a run, go on with one or copy one, and how each keeps the software version.
var runsBegin = map[string]string{
	"generation/dispatch.go Engines.Open":     "the backend server was picked for the binding; bindVersion checks its first chunk",
	"generation/resume.go Engines.Attach":     "the run that brought the first chunk, at the same incarnation",
	"generation/copy.go Copier.Copy":          "the target is a standby",
	"generation/copy.go Picker.Standby":       "standbys run the version of the run",
	"generation/dispatch.go Picker.Standby":   "standbys run the version of the run",
	"generation/steps.go Picker.Pick":         "pickRequest carries the binding",
	"generation/forward.go Forwarder.Forward": "the handover carries the binding",
	"hosted/observe.go Engines.Open":          "passes on what dispatch has picked",
	"hosted/sizing_state.go Engines.Open":     "passes on what dispatch has picked",
	"forward/serve.go runner.Run":             "the start message carries the binding",
	"relay/relay.go Runner.Run":               "the run finds out at which version a stream began that is taken up",
	"callerapi/generate.go Runner.Run":        "the cursor names the software",
}

// Guards against a new way to begin a run, or to go on with one, that takes no account of the software version.
func TestEveryRunKeepsItsSoftwareVersion(t *testing.T) {
	begins := regexp.MustCompile(`\b(Engines\.(?:Open|Attach)|Copier\.Copy|Picker\.(?:Pick|Standby)|Forwarder\.Forward|[rR]unner\.Run)\(`)
	found := map[string]bool{}
	for _, file := range sourceFiles(t) {
		for _, m := range begins.FindAllStringSubmatch(read(t, file), -1) {
			place := strings.TrimPrefix(file, "../") + " " + m[1]
			found[place] = true
			if runsBegin[place] == "" {
				t.Errorf("%s is not in the list", place)
			}
		}
	}
	for place := range runsBegin {
		if !found[place] {
			t.Errorf("%s is in the list and not in the code", place)
		}
	}
}

// Guards against a stream that counts as one of the version in the list although the engine has started again with other
// software under its name.
func TestEngineThatStartsAgainWithOtherSoftwareIsNoticed(t *testing.T) {
	f := newFleet(t)
	engines := f.startSoftware("v1", 1, 400)
	other := f.startSoftware("v2", 1, 400)
	engines[0].StartedAt, other[0].StartedAt = 1000, 1000
	f.store.Register(engines[0], false)
	f.store.Register(other[0], false)
	f.configure(key)
	n := f.startNode("n1")
	await(t, "readiness", n.ready)
	await(t, "engines", func() bool { return len(n.dir.Service("llm")) == 2 })
	b, ok := n.dir.Backend("v1-0@1000")
	if !ok {
		t.Fatal("the engine is not known")
	}
	if got, err := n.software.Confirm(t.Context(), b); err != nil || got.Version != "v1" || got.Unknown {
		t.Errorf("before: %+v, %v", got, err)
	}
	engines[0].Crash()
	restarted, err := engines[0].RestartAs("v2", 2000)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(restarted.Crash)
	if got, err := n.software.Confirm(t.Context(), b); err == nil {
		t.Errorf("after the start with other software: %+v", got)
	}
	restarted.Crash()
	if got, err := n.software.Confirm(t.Context(), b); err != nil || !got.Unknown {
		t.Errorf("while it does not answer: %+v, %v", got, err)
	}
	b.VersionAssumed = true
	b.ID = "found"
	if got, err := n.software.Confirm(t.Context(), b); err != nil || !got.Unknown {
		t.Errorf("an engine that has not stated its version: %+v, %v", got, err)
	}
}

// Guards against a request at the second hop, or its answer, that loses the version that began the stream.
func TestSecondHopKeepsTheSoftwareVersion(t *testing.T) {
	f := newFleet(t)
	_, nodes := f.twoVersions(100, "n1", "n2", "n3")
	begun := nodes[0].begin("q1")
	begun.leave()
	own := nodes[1].begin("q2")
	nodes[1].replicaLinks.Set(fault.Resetting) // n2 reaches no engine any more
	own.read(t, 0)
	if v := versionsOf(own.pieces); len(v) != 1 || len(own.pieces) != 100 {
		t.Errorf("a stream whose router was cut off: %d pieces of versions %v", len(own.pieces), v)
	}
	next, status := nodes[1].resume("q1-2", "q1", 3)
	if status != http.StatusOK {
		t.Fatalf("a stream taken up at a router that is cut off: status %d", status)
	}
	next.read(t, 0)
	if v := versionsOf(append(begun.pieces, next.pieces...)); len(v) != 1 || len(next.pieces) != 97 {
		t.Errorf("a stream taken up at a router that is cut off: %d pieces of versions %v", len(next.pieces), v)
	}
	_, status = nodes[1].resume("q3-2", "unknown", 3)
	if status != http.StatusServiceUnavailable {
		t.Errorf("a stream that nobody knows: status %d", status)
	}
}
