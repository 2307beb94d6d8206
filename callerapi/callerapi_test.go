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

// Clients of the usual protocol read these very bytes.
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

// Symptom: after a router's death an answer goes on with a token missing,
// repeated, or of another draft.
// Sequence: the first router streams three tokens and dies; the caller comes
// to a second one, which never heard of the request, with the last cursor.
// Cause: a place or text that is not the delivered one.
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
		// The cursors of the second node still speak of the whole text.
		third := newServer(t, never(t))
		whole := bodyResume + quoted(got.text+rest.text) + "}"
		last := readStream(t, post(third, "/v1/completions", whole, "Last-Event-ID: "+rest.cursor))
		if last.text != "" || !last.done {
			t.Fatalf("after the last token: got %+v", last)
		}
	}
}

// Symptom: one account gets another's text, or a spliced answer.
// Sequence: a caller comes back with a cursor or a text that is not its own.
// Cause: a reconnect taken on trust. Each must be refused before any work.
func TestReconnectRefused(t *testing.T) {
	s := newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
		tokens(sink, 0, "one ", "two ")
		return generation.Result{Outcome: fleet.Failed}
	})
	got := readStream(t, post(s, "/v1/completions", body, "Idempotency-Key: k1"))
	strict := newServer(t, never(t))
	own := "Last-Event-ID: " + got.cursor
	for _, c := range []struct {
		name, body string
		headers    []string
		status     int
		code       string
	}{
		{"foreign", body, []string{own, "Authorization: Bearer sk-other"}, 403, "cursor_foreign"},
		{"forged", body, []string{own[:len(own)-3] + "AAA"}, 400, "cursor_invalid"},
		{"not a cursor", body, []string{"Last-Event-ID: 7"}, 400, "cursor_invalid"},
		{"other key", body, []string{own, "Idempotency-Key: k2"}, 400, "cursor_mismatch"},
		{"other body", `{"model":"m","prompt":"q","stream":true}`, []string{own}, 400, "cursor_mismatch"},
		{"shorter text", bodyResume + `"one "}`, []string{own}, 400, "resume_text_mismatch"},
		{"longer text", bodyResume + `"one two t"}`, []string{own}, 400, "resume_text_mismatch"},
		{"other text", bodyResume + `"one twO "}`, []string{own}, 400, "resume_text_mismatch"},
		{"text of an earlier event", bodyResume + `"one two "}`, []string{"Last-Event-ID: " + got.cursors[0]}, 400, "resume_text_mismatch"},
		{"text without cursor", bodyResume + `"one two "}`, nil, 400, "invalid_request"},
		{"whole", `{"model":"m","prompt":"p"}`, []string{own}, 400, "invalid_request"},
	} {
		resp := post(strict, "/v1/completions", c.body, c.headers...)
		f := failureIn(t, resp)
		if resp.StatusCode != c.status || f.Code != c.code || f.Outcome != "unknown" {
			t.Errorf("%s: got %d %+v", c.name, resp.StatusCode, f)
		}
	}
}

// Symptom: a caller is told not-run of a request of which it holds tokens, and
// sends it as a fresh one: a second draft.
// Sequence: its router dies, and the next one turns the reconnect away before
// it looks at the cursor.
// Cause: nothing was run by this try, which says nothing of the request.
func TestReconnectIsNeverNotRun(t *testing.T) {
	notReady := func(c *callerapi.Config) { c.Gate = gate{errNotReady} }
	full := func(c *callerapi.Config) { c.MaxOpen = -1 }
	none := func(*callerapi.Config) {}
	takenAway := func(c *callerapi.Config) { c.Accounts = noAccess{} }
	first := newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
		tokens(sink, 0, "one ")
		return generation.Result{Outcome: fleet.Failed}
	})
	own := "Last-Event-ID: " + readStream(t, post(first, "/v1/completions", body, "Idempotency-Key: k")).cursor
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
		{"model taken away", body, "", takenAway, "model_not_allowed"},
	} {
		f := failureIn(t, post(newServer(t, never(t), c.change), "/v1/completions", c.body, own, c.header))
		if f.Code != c.code || f.Outcome != "unknown" {
			t.Errorf("%s: got %+v", c.name, f)
		}
	}
}

// Symptom: an answer whose beginning is of one draft and whose end of another.
// Sequence: a node finishes and keeps a second draft of a request whose first
// one broke off; the caller comes there with the cursor of the first.
// Cause: a kept answer sent from an offset on, whatever the text before it.
func TestKeptAnswerOfAnotherDraft(t *testing.T) {
	draft := func(texts ...string) *callerapi.Server {
		return newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
			tokens(sink, 0, texts...)
			return complete
		})
	}
	long := strings.Repeat("two ", 200)
	first := readStream(t, post(draft("one ", long, "end"), "/v1/completions", body, "Idempotency-Key: k"))
	for name, texts := range map[string][]string{"same length": {"uno ", long, "end"}, "shorter": {"end"}} {
		second := draft(texts...)
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

// A refusal must keep its status and be true: none of these may reach a run.
func TestRefusals(t *testing.T) {
	notReady := func(c *callerapi.Config) { c.Gate = gate{errNotReady} }
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
		resp := post(newServer(t, never(t), c.change), c.path, c.body, c.header)
		f := failureIn(t, resp)
		if resp.StatusCode != c.status || f.Code != c.code || f.Outcome != "not-run" {
			t.Errorf("%s: got %d %+v", c.name, resp.StatusCode, f)
		}
		if (resp.Header.Get("Retry-After") != "") != c.retry || (f.RetryAfterMS > 0) != c.retry {
			t.Errorf("%s: Retry-After %q", c.name, resp.Header.Get("Retry-After"))
		}
	}
}

// What a run says of itself must reach the caller unchanged, or weaker.
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
		t.Errorf("%d failures with a strange code are counted", n)
	}
}

// Symptom: two drafts of one request.
// Sequence: the caller repeats a request while the first is running; after it
// has finished and its answer was lost; and with another body.
// Cause: a key that is not held while its request runs, or not kept after.
func TestOneDraftPerKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		release := make(chan struct{})
		s := newServer(t, counted(&runs, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
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
		time.Sleep(3 * time.Minute) // the fake clock's
		post(s, "/v1/completions", body, "Idempotency-Key: k")
		if runs.Load() != 2 {
			t.Errorf("the answer is kept for ever")
		}
	})
}

// The same, where the first request runs on another node. A reconnect takes
// its own stream over and passes.
func TestOneDraftAcrossNodes(t *testing.T) {
	s := newServer(t, func(_ context.Context, req generation.Request, sink generation.Sink) generation.Result {
		if req.Resume != nil {
			tokens(sink, 1, "end")
			return complete
		}
		tokens(sink, 0, "one ")
		return generation.Result{Outcome: fleet.Failed, Code: generation.CodeEngineLost}
	}, func(c *callerapi.Config) { c.KeyRegistry = pointers{} })
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

// Symptom: a caller that lost its connection is turned away or kept waiting,
// or its two runs take the engine's stream from each other.
// Sequence: the connection dies unnoticed by the node, which blocks in a write
// to it; the caller comes back to the same node.
// Cause: the earlier run still holds the key.
func TestReconnectSupersedes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		first := &stuck{ResponseRecorder: httptest.NewRecorder()}
		s := newServer(t, counted(&runs, func(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result {
			if req.Resume != nil {
				tokens(sink, 1, "end")
				return complete
			}
			if err := tokens(sink, 0, "one "); err == nil || !errors.Is(context.Cause(ctx), callerapi.ErrSuperseded) {
				t.Errorf("ended by %v, %v", err, context.Cause(ctx))
			}
			if sink.Flush() == nil {
				t.Error("a later write is given its time again")
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
