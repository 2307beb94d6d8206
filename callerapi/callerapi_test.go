package callerapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/callerapi"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/generation"
)

const (
	body       = `{"model":"m","prompt":"p","stream":true}`
	bodyResume = `{"prompt":"p","model":"m","stream":true,"resume_text":`
)

func quoted(s string) string {
	raw, _ := json.Marshal(s)
	return string(raw)
}

// TestStreamBytes checks that the events have exactly these bytes, because clients of
// OpenAI's format parse them.
func TestStreamBytes(t *testing.T) {
	s := newServer(t, func(_ context.Context, req generation.Request, sink generation.Sink) generation.Result {
		if req.Prompt != "<|user|>\nhi\n<|assistant|>\n" || req.Account != "acme" || req.ID == "k1" {
			t.Errorf("got %+v", req)
		}
		tokens(sink, 0, "a\"\\\n\x01é", "\xff", "end")
		return complete
	})
	chatBody := `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"temperature":1}`
	resp := post(s, "/v1/chat/completions", chatBody, "Idempotency-Key: k1")
	if resp.Header.Get("Idempotency-Key") != "k1" || resp.Header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("headers %v", resp.Header)
	}
	raw, _ := io.ReadAll(resp.Body)
	got := strings.Split(string(raw), "\n")
	for i, want := range []string{
		`id: `, `data: {"id":"k1","object":"chat.completion.chunk","created":`, ``,
		`id: `, `data: {"id":"k1","object":"chat.completion.chunk","created":`, ``,
		`id: `, `data: {"id":"k1","object":"chat.completion.chunk","created":`, ``, `data: [DONE]`, ``, ``,
	} {
		if i >= len(got) || !strings.HasPrefix(got[i], want) {
			t.Fatalf("line %d: got %q, want %q", i, got[i], want)
		}
	}
	for i, want := range map[int]string{
		1: `"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"a\"\\\n\u0001é"},"finish_reason":null}]}`,
		4: `"choices":[{"index":0,"delta":{"content":"` + "\ufffd" + `"},"finish_reason":null}]}`,
		7: `"choices":[{"index":0,"delta":{"content":"end"},"finish_reason":"stop"}]}`,
	} {
		if !strings.HasSuffix(got[i], want) {
			t.Errorf("line %d: got %s, want %s", i, got[i], want)
		}
	}
}

// TestReconnectAtAnotherNode guards against a resumed answer with a token that is missing,
// repeated or of another generation. The first router streams three tokens and crashes; the
// caller reconnects with its last cursor to a second router, which has no record of the
// request. The second router must resume from exactly the delivered position and text.
func TestReconnectAtAnotherNode(t *testing.T) {
	first := newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
		tokens(sink, 0, "one ", "two ", "three ")
		return generation.Result{Outcome: fleet.Failed, Code: generation.CodeEngineLost}
	})
	got := readStream(t, post(first, "/v1/completions", body, "Idempotency-Key: k1"))
	if got.done || got.failure.Outcome != "failed" || got.failure.Code != generation.CodeEngineLost {
		t.Fatalf("got %+v", got)
	}
	for _, haveText := range []bool{true, false} {
		second := newServer(t, func(_ context.Context, req generation.Request, sink generation.Sink) generation.Result {
			want := generation.ResumePoint{Backend: "e1", Incarnation: "i1", Attempt: 1, Offset: 3, HaveText: haveText}
			if haveText {
				want.Text = "one two three "
			}
			if req.Resume == nil || *req.Resume != want || req.Ref.Version != "v1" {
				t.Errorf("got %+v", req.Resume)
			}
			tokens(sink, 3, "four ", "end")
			return complete
		})
		again := body
		if haveText {
			again = bodyResume + quoted(got.text) + "}"
		}
		rest := readStream(t, post(second, "/v1/completions", again, "Last-Event-ID: "+got.cursor))
		if rest.text != "four end" || !rest.done {
			t.Fatalf("got %+v", rest)
		}
		// The cursors of the second node cover the complete text.
		third := newServer(t, neverRuns(t))
		allText := bodyResume + quoted(got.text+rest.text) + "}"
		last := readStream(t, post(third, "/v1/completions", allText, "Last-Event-ID: "+rest.cursor))
		if last.text != "" || !last.done {
			t.Fatalf("after the last token: got %+v", last)
		}
	}
}

// TestReconnectRefused guards against a caller getting another account's text, or an answer
// spliced from two generations. The caller reconnects with a cursor or a text that does not
// belong to its request; each such reconnect must be refused before any work is done.
func TestReconnectRefused(t *testing.T) {
	s := newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
		tokens(sink, 0, "one ", "two ")
		return generation.Result{Outcome: fleet.Failed}
	})
	got := readStream(t, post(s, "/v1/completions", body, "Idempotency-Key: k1"))
	strict := newServer(t, neverRuns(t))
	ownCursor := "Last-Event-ID: " + got.cursor
	for _, c := range []struct {
		name, body string
		headers    []string
		status     int
		code       string
	}{
		{"foreign", body, []string{ownCursor, "Authorization: Bearer sk-other"}, 403, "cursor_foreign"},
		{"forged", body, []string{ownCursor[:len(ownCursor)-3] + "AAA"}, 400, "cursor_invalid"},
		{"not a cursor", body, []string{"Last-Event-ID: 7"}, 400, "cursor_invalid"},
		{"other key", body, []string{ownCursor, "Idempotency-Key: k2"}, 400, "cursor_mismatch"},
		{"other body", `{"model":"m","prompt":"q","stream":true}`, []string{ownCursor}, 400, "cursor_mismatch"},
		{"shorter text", bodyResume + `"one "}`, []string{ownCursor}, 400, "resume_text_mismatch"},
		{"longer text", bodyResume + `"one two t"}`, []string{ownCursor}, 400, "resume_text_mismatch"},
		{"other text", bodyResume + `"one twO "}`, []string{ownCursor}, 400, "resume_text_mismatch"},
		{"text of an earlier event", bodyResume + `"one two "}`, []string{"Last-Event-ID: " + got.cursors[0]}, 400, "resume_text_mismatch"},
		{"text without cursor", bodyResume + `"one two "}`, nil, 400, "invalid_request"},
		{"whole", `{"model":"m","prompt":"p"}`, []string{ownCursor}, 400, "invalid_request"},
	} {
		resp := post(strict, "/v1/completions", c.body, c.headers...)
		f := failureIn(t, resp)
		if resp.StatusCode != c.status || f.Code != c.code || f.Outcome != "unknown" {
			t.Errorf("%s: got %d %+v", c.name, resp.StatusCode, f)
		}
	}
}

// TestReconnectIsNeverNotRun guards against a caller receiving not-run for a request of
// which the caller already has tokens: the caller would send the request as a new one and
// get a second generation. The caller's router crashes, and the next router refuses the
// reconnect before it checks the cursor. This try ran nothing, but that does not mean that
// the request never ran.
func TestReconnectIsNeverNotRun(t *testing.T) {
	notReady := func(c *callerapi.Config) { c.Gate = fakeGate{errNotReady} }
	full := func(c *callerapi.Config) { c.MaxOpen = -1 }
	none := func(*callerapi.Config) {}
	revoked := func(c *callerapi.Config) { c.Accounts = noAccess{} }
	first := newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
		tokens(sink, 0, "one ")
		return generation.Result{Outcome: fleet.Failed}
	})
	ownCursor := "Last-Event-ID: " + readStream(t, post(first, "/v1/completions", body, "Idempotency-Key: k")).cursor
	for _, c := range []struct {
		name, body, header string
		change             func(*callerapi.Config)
		code               string
	}{
		{"not ready", body, "", notReady, "not_ready"},
		{"full", body, "", full, "overloaded"},
		{"no such account", body, "Authorization: Bearer x", none, "invalid_api_key"},
		{"malformed", `{`, "", none, "invalid_request"},
		{"key", body, "Idempotency-Key: a b", none, "invalid_request"},
		{"oversized", strings.Repeat(" ", 2001), "", none, "body_too_large"},
		{"access to the model revoked", body, "", revoked, "model_not_allowed"},
	} {
		f := failureIn(t, post(newServer(t, neverRuns(t), c.change), "/v1/completions", c.body, ownCursor, c.header))
		if f.Code != c.code || f.Outcome != "unknown" {
			t.Errorf("%s: got %+v", c.name, f)
		}
	}
}

// TestKeptAnswerOfAnotherDraft guards against an answer that begins with the text of one
// generation and ends with that of another. A node finishes and keeps a second generation
// of a request whose first generation broke off; the caller reconnects there with the
// cursor of the first generation. The kept answer must not be continued at the cursor's
// offset unless the text before the offset is the same.
func TestKeptAnswerOfAnotherDraft(t *testing.T) {
	answering := func(texts ...string) *callerapi.Server {
		return newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
			tokens(sink, 0, texts...)
			return complete
		})
	}
	long := strings.Repeat("two ", 200)
	first := readStream(t, post(answering("one ", long, "end"), "/v1/completions", body, "Idempotency-Key: k"))
	for name, texts := range map[string][]string{"same length": {"uno ", long, "end"}, "shorter": {"end"}} {
		second := answering(texts...)
		readStream(t, post(second, "/v1/completions", body, "Idempotency-Key: k"))
		resp := post(second, "/v1/completions", body, "Last-Event-ID: "+first.cursors[1])
		if resp.StatusCode != http.StatusConflict {
			t.Errorf("%s: spliced: %q", name, readStream(t, resp).text)
			continue
		}
		if f := failureIn(t, resp); f.Code != "resume_text_mismatch" || f.Outcome != "failed" {
			t.Errorf("%s: got %+v", name, f)
		}
	}
}

// TestRefusals checks that a refusal has its own HTTP status and a correct outcome, and
// that none of these requests reaches the runner.
func TestRefusals(t *testing.T) {
	notReady := func(c *callerapi.Config) { c.Gate = fakeGate{errNotReady} }
	full := func(c *callerapi.Config) { c.MaxOpen = -1 }
	none := func(*callerapi.Config) {}
	for _, c := range []struct {
		name, path, body, header string
		change                   func(*callerapi.Config)
		status                   int
		code                     string
		retry                    bool
	}{
		{"not ready", "/v1/completions", body, "", notReady, 503, "not_ready", true},
		{"full", "/v1/completions", body, "", full, 503, "overloaded", true},
		{"bad key", "/v1/completions", body, "Authorization: Bearer x", none, 401, "invalid_api_key", false},
		{"no key", "/v1/completions", body, "Authorization: ", none, 401, "invalid_api_key", false},
		{"malformed", "/v1/completions", `{"model":`, "", none, 400, "invalid_request", false},
		{"null", "/v1/completions", `null`, "", none, 400, "invalid_request", false},
		{"wrong type", "/v1/completions", `{"model":"m","prompt":["p"]}`, "", none, 400, "invalid_request", false},
		{"deep", "/v1/completions", `{"model":"m","prompt":"p","x":` + strings.Repeat("[", 40) + strings.Repeat("]", 40) + `}`, "", none, 400, "invalid_request", false},
		{"several", "/v1/completions", `{"model":"m","prompt":"p","n":2}`, "", none, 400, "invalid_request", false},
		{"max_tokens", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":0}`, "", none, 400, "invalid_request", false},
		{"role", "/v1/chat/completions", `{"model":"m","messages":[{"role":"x"}]}`, "", none, 400, "invalid_request", false},
		{"oversized", "/v1/completions", strings.Repeat(" ", 2001), "", none, 413, "body_too_large", false},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, "", none, 404, "model_not_found", false},
		{"forbidden", "/v1/completions", `{"model":"secret","prompt":"p"}`, "", none, 403, "model_not_allowed", false},
		{"key", "/v1/completions", body, "Idempotency-Key: a b", none, 400, "invalid_request", false},
		{"mark", "/v1/completions", body, "Wigeon-Non-Idempotent: yes", none, 400, "invalid_request", false},
		{"timeout", "/v1/completions", body, "Wigeon-Timeout-Ms: 0", none, 400, "invalid_request", false},
		{"priority", "/v1/completions", body, "Wigeon-Priority: high", none, 400, "invalid_request", false},
		{"path", "/v2", body, "", none, 404, "not_found", false},
		{"method", "/v1/models", body, "", none, 405, "method_not_allowed", false},
		{"service", "/services/x/y", body, "", none, 404, "not_found", false},
	} {
		resp := post(newServer(t, neverRuns(t), c.change), c.path, c.body, c.header)
		f := failureIn(t, resp)
		if resp.StatusCode != c.status || f.Code != c.code || f.Outcome != "not-run" {
			t.Errorf("%s: got %d %+v", c.name, resp.StatusCode, f)
		}
		if (resp.Header.Get("Retry-After") != "") != c.retry || (f.RetryAfterMS > 0) != c.retry {
			t.Errorf("%s: Retry-After %q", c.name, resp.Header.Get("Retry-After"))
		}
	}
}

// TestRunOutcomes checks that the caller gets the outcome that a run reports, unchanged or
// weakened to unknown.
func TestRunOutcomes(t *testing.T) {
	set := metrics.NewSet()
	for _, c := range []struct {
		res     generation.Result
		status  int
		outcome string
		retry   string
	}{
		{generation.Result{Outcome: fleet.NotRun, Code: "account_limit", RetryAfter: 1200 * time.Millisecond}, 429, "not-run", "2"},
		{generation.Result{Outcome: fleet.NotRun, Code: callerapi.CodeRateLimited, RetryAfter: 3 * time.Second}, 429, "not-run", "3"},
		{generation.Result{Outcome: fleet.NotRun, Code: callerapi.CodeOverloaded, RetryAfter: 3 * time.Second}, 503, "not-run", "3"},
		{generation.Result{Outcome: fleet.NotRun, Code: "bad_request"}, 400, "not-run", ""},
		{generation.Result{Outcome: fleet.NotRun, Code: generation.CodeKeyReused, RetryAfter: time.Second}, 422, "not-run", ""},
		{generation.Result{Outcome: fleet.NotRun, Code: "no_replica"}, 503, "not-run", "1"},
		{generation.Result{Outcome: fleet.NotRun, Code: generation.CodeDeadline}, 504, "not-run", "1"},
		{generation.Result{Outcome: fleet.Failed, Code: generation.CodeEngineLost}, 502, "failed", ""},
		{generation.Result{Outcome: fleet.Unknown, Code: generation.CodeDuplicate}, 409, "unknown", ""},
		{generation.Result{Code: `a"}b`}, 502, "unknown", ""},
	} {
		for _, b := range []string{body, `{"model":"m","prompt":"p"}`} {
			s := newServer(t, func(context.Context, generation.Request, generation.Sink) generation.Result { return c.res },
				func(cfg *callerapi.Config) { cfg.Metrics = set })
			set.UnregisterMetric("wigeon_caller_open_requests") // one server at a time
			resp := post(s, "/v1/completions", b)
			f := failureIn(t, resp)
			if resp.StatusCode != c.status || f.Outcome != c.outcome || resp.Header.Get("Retry-After") != c.retry {
				t.Errorf("%+v: got %d %+v, %q", c.res, resp.StatusCode, f, resp.Header.Get("Retry-After"))
			}
		}
	}
	if n := set.GetOrCreateCounter(`wigeon_caller_failures_total{code="other",outcome="unknown"}`).Get(); n != 2 {
		t.Errorf("got %d failures counted with code \"other\", want 2", n)
	}
}

// TestOneDraftPerKey guards against two generations of one request. The caller repeats the
// request while the first one is running, and again after the first one has finished and its
// answer was lost. The caller also sends another body with the same key. The node must mark
// the key as running while the first request runs, and keep the key afterwards.
func TestOneDraftPerKey(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		release := make(chan struct{})
		s := newServer(t, countRuns(&runs, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
			tokens(sink, 0, "one ")
			<-release
			tokens(sink, 1, "two ", "end")
			return complete
		}))
		first := make(chan *http.Response)
		go func() { first <- post(s, "/v1/completions", body, "Idempotency-Key: k") }()
		synctest.Wait()
		f := failureIn(t, post(s, "/v1/completions", body, "Idempotency-Key: k"))
		if f.Code != "in_progress" || f.Outcome != "unknown" || f.RetryAfterMS == 0 {
			t.Errorf("while it runs: %+v", f)
		}
		other := `{"model":"m","prompt":"other"}`
		if f := failureIn(t, post(s, "/v1/completions", other, "Idempotency-Key: k")); f.Code != "key_reused" || f.Outcome != "not-run" {
			t.Errorf("other body: %+v", f)
		}
		close(release)
		got := readStream(t, <-first)
		again := readStream(t, post(s, "/v1/completions", body, "Idempotency-Key: k"))
		if again.text != got.text || !again.done {
			t.Errorf("first %q, again %q", got.text, again.text)
		}
		rest := readStream(t, post(s, "/v1/completions", body, "Last-Event-ID: "+got.cursors[0]))
		if rest.text != "two end" || !rest.done {
			t.Errorf("from the first event: %+v", rest)
		}
		if runs.Load() != 1 {
			t.Errorf("%d runs", runs.Load())
		}
		time.Sleep(3 * time.Minute) // of the fake clock
		post(s, "/v1/completions", body, "Idempotency-Key: k")
		if runs.Load() != 2 {
			t.Errorf("the answer is kept forever")
		}
	})
}

// TestOneDraftAcrossNodes guards against the same failure as TestOneDraftPerKey when the
// first request runs on another node. A reconnect is allowed, because it continues the
// caller's earlier stream and starts no second generation.
func TestOneDraftAcrossNodes(t *testing.T) {
	s := newServer(t, func(_ context.Context, req generation.Request, sink generation.Sink) generation.Result {
		if req.Resume != nil {
			tokens(sink, 1, "end")
			return complete
		}
		tokens(sink, 0, "one ")
		return generation.Result{Outcome: fleet.Failed, Code: generation.CodeEngineLost}
	}, func(c *callerapi.Config) { c.KeyRegistry = fakeKeyRegistry{} })
	got := readStream(t, post(s, "/v1/completions", body, "Idempotency-Key: k"))
	if f := failureIn(t, post(s, "/v1/completions", body, "Idempotency-Key: k")); f.Code != "in_progress" || f.Outcome != "unknown" {
		t.Errorf("same body: %+v", f)
	}
	if f := failureIn(t, post(s, "/v1/completions", `{"model":"m","prompt":"q"}`, "Idempotency-Key: k")); f.Code != "key_reused" {
		t.Errorf("other body: %+v", f)
	}
	if rest := readStream(t, post(s, "/v1/completions", body, "Last-Event-ID: "+got.cursor)); rest.text != "end" {
		t.Errorf("reconnect: %+v", rest)
	}
}

// TestReconnectSupersedes guards against a caller that lost its connection being refused or
// kept waiting, and against the caller's two runs taking the engine's stream from each
// other. The connection breaks, and the node doesn't notice and blocks in a write to that
// connection. The earlier run therefore still occupies the key when the caller reconnects to
// the same node.
func TestReconnectSupersedes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		first := &stuckConn{ResponseRecorder: httptest.NewRecorder()}
		s := newServer(t, countRuns(&runs, func(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result {
			if req.Resume != nil {
				tokens(sink, 1, "end")
				return complete
			}
			if err := tokens(sink, 0, "one "); err == nil || !errors.Is(context.Cause(ctx), callerapi.ErrSuperseded) {
				t.Errorf("ended by %v, %v", err, context.Cause(ctx))
			}
			if sink.Flush() == nil {
				t.Error("a write after the abort got a new deadline")
			}
			return generation.Result{Outcome: fleet.Failed, Code: generation.CodeCallerDisconnected}
		}))
		go func() {
			r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
			r.Header.Set("Authorization", "Bearer sk-acme")
			s.ServeHTTP(first, r)
		}()
		synctest.Wait()
		line, _, _ := strings.Cut(first.Body.String(), "\n")
		rest := readStream(t, post(s, "/v1/completions", body, "Last-Event-ID: "+strings.TrimPrefix(line, "id: ")))
		if rest.text != "end" || !rest.done || runs.Load() != 2 {
			t.Errorf("got %+v after %d runs", rest, runs.Load())
		}
	})
}

// Guards against a header that is sent twice, of which the first value counts: a second answer would begin for a caller that has a part
// of one, or another key would be charged.
func TestHeaderSentTwiceIsRefused(t *testing.T) {
	s := newServer(t, neverRuns(t))
	for name, values := range map[string][2]string{
		"Last-Event-ID": {"", "AQ"}, "Idempotency-Key": {"k1", "k2"}, "Wigeon-Non-Idempotent": {"false", "true"},
		"Wigeon-Priority": {"batch", "interactive"}, "Wigeon-Timeout-Ms": {"1000", "2000"},
	} {
		resp := post(s, "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, name+": "+values[0], name+": "+values[1])
		got := failureIn(t, resp)
		want := fleet.NotRun
		if name == "Last-Event-ID" {
			want = fleet.Unknown // the answer was begun
		}
		if resp.StatusCode != http.StatusBadRequest || got.Outcome != string(want) {
			t.Errorf("%s: status %d, %+v", name, resp.StatusCode, got)
		}
	}
	if resp := post(s, "/v1/completions", "{}", "Authorization: Bearer sk-acme", "Authorization: Bearer other"); resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("two keys: status %d", resp.StatusCode)
	}
}

// Guards against a stream for a client of HTTP/1.0, which can't tell a part of it from the whole.
func TestStreamOverHTTP10IsRefused(t *testing.T) {
	s := newServer(t, neverRuns(t))
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
	r.Header.Set("Authorization", "Bearer sk-acme")
	r.Proto, r.ProtoMinor = "HTTP/1.0", 0
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if got := failureIn(t, w.Result()); w.Code != http.StatusUpgradeRequired || got.Outcome != string(fleet.NotRun) || w.Header().Get("Upgrade") != "HTTP/1.1" {
		t.Errorf("status %d, %+v", w.Code, got)
	}
}
