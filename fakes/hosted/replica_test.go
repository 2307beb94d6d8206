package hosted

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Two replicas that each start a run with its copy at the other one must not deadlock. When
// each of them held its own lock while it waited for the lock of the other, neither replica
// responded any more.
func TestReplicasKeepEachOthersCopies(t *testing.T) {
	a, b := &Replica{ID: "a", copies: map[string]bool{}}, &Replica{ID: "b", copies: map[string]bool{}}
	a.replicaAt = func(string) *Replica { return b }
	b.replicaAt = func(string) *Replica { return a }
	var group sync.WaitGroup
	for _, r := range []*Replica{a, b} {
		for range 4 {
			group.Go(func() {
				for range 2000 {
					r.receive(&Arrival{ID: "q", Header: http.Header{"X-Kv-Backup": {"other"}}})
				}
			})
		}
	}
	group.Wait()
}

// silence is how long the tests watch that a frozen replica sends nothing.
const silence = 150 * time.Millisecond

// startEngine starts an engine that needs well less than silence for a stream.
func startEngine(t *testing.T) *Replica {
	t.Helper()
	r := &Replica{ID: "r", Engine: true, Chunks: 10, ChunkGap: time.Millisecond}
	if err := r.Start(nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Crash)
	return r
}

// fetch sends a request to a replica and delivers the body of the answer.
func fetch(t *testing.T, r *Replica, method, path string) <-chan string {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.Addr()+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Attempt-Id", "q")
	body := make(chan string, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			body <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		body <- string(b) + errorText(err)
	}()
	return body
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func expectSilence(t *testing.T, body <-chan string) {
	t.Helper()
	select {
	case got := <-body:
		t.Fatalf("a frozen replica has answered %q", got)
	case <-time.After(silence):
	}
}

func expectBody(t *testing.T, body <-chan string, want string) {
	t.Helper()
	select {
	case got := <-body:
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("no answer after the end of the freeze")
	}
}

func streamOf(id string, chunks int) (text string) {
	for n := range chunks {
		text += Chunk(id, n+1)
	}
	return text
}

// Guards against a stream that stays silent for ever, or goes on too early, when two freezes overlap.
func TestOverlappingFreezes(t *testing.T) {
	r := startEngine(t)
	r.Freeze()
	body := fetch(t, r, http.MethodPost, "/draft/x")
	expectSilence(t, body)
	r.Freeze()
	r.Thaw()
	expectSilence(t, body)
	r.Thaw()
	expectBody(t, body, streamOf("q", 10))
	r.Thaw() // without a freeze
	r.Freeze()
	expectSilence(t, fetch(t, r, http.MethodPost, "/draft/x"))
}

// Guards against a replica that answers something while it is frozen, or answers less after that.
func TestFrozenReplicaAnswersNothing(t *testing.T) {
	const report = `{"active":0,"kv_total":55000,"queued":0,"runs":[],"stage":"unified"}` + "\n"
	for name, c := range map[string]struct {
		method, path, want string
		faults             Faults
	}{
		"health check":  {http.MethodGet, HealthPath, "", Faults{}},
		"report":        {http.MethodGet, "/report", report, Faults{}},
		"list of parts": {http.MethodGet, "/kv-list", `{"epoch":1,"held":[],"next":1}` + "\n", Faults{}},
		"copy of a run": {http.MethodPost, "/kv-move", "EOF\n", Faults{}},
		"refusal":       {http.MethodPost, "/draft/x", "", Faults{Refuse: true}},
		"stream":        {http.MethodPost, "/draft/x", streamOf("q", 10), Faults{}},
		"unframed":      {http.MethodPost, "/draft/x", streamOf("q", 10), Faults{NoLength: true}},
	} {
		t.Run(name, func(t *testing.T) {
			r := startEngine(t)
			r.SetFaults(c.faults)
			r.Freeze()
			body := fetch(t, r, c.method, c.path)
			expectSilence(t, body)
			r.Thaw()
			expectBody(t, body, c.want)
		})
	}
}

// Guards against an answer that goes on, or is lost, when its replica freezes after its start.
func TestFreezeHoldsBackWhatIsInProgress(t *testing.T) {
	for name, c := range map[string]struct {
		engine bool
		faults Faults
		want   string
	}{
		"unframed stream":         {true, Faults{NoLength: true}, streamOf("q", 10)},
		"answer without a stream": {false, Faults{}, CompleteResponse("q")},
	} {
		t.Run(name, func(t *testing.T) {
			r := startEngine(t)
			r.Engine, r.ChunkGap, r.Work = c.engine, silence/5, silence
			r.SetFaults(c.faults)
			body := fetch(t, r, http.MethodPost, "/draft/x")
			time.Sleep(silence / 2)
			r.Freeze()
			expectSilence(t, body)
			expectSilence(t, body)
			r.Thaw()
			expectBody(t, body, c.want)
		})
	}
}

// Guards against a stand-in that gives no answer to a client that has all chunks of a stream and asks for the rest.
func TestUnframedStreamWithoutARestHasAHead(t *testing.T) {
	r := &Replica{ID: "e", Service: "llm", Engine: true, Chunks: 3}
	r.SetFaults(Faults{NoLength: true})
	if err := r.Start(func(string) *Replica { return nil }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Crash)
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Addr()+"/draft/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Attempt-Id", "q")
	req.Header.Set("Last-Event-Id", "3")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || len(body) != 0 {
		t.Errorf("status %d, %q, %v", resp.StatusCode, body, err)
	}
}
