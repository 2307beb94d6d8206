package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/fleet"

	"github.com/google/go-cmp/cmp"
)

func newRouter(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

func chunk(id int, text string) string {
	return fmt.Sprintf("id: c%d\ndata: {\"id\":\"r\",\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":null}]}\n\n", id, text)
}

const done = "data: [DONE]\n\n"

// abortAfter sends s and then closes the connection before the end of the body.
func abortAfter(w http.ResponseWriter, s string) {
	io.WriteString(w, s)
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func refuse(w http.ResponseWriter, status int, o fleet.Outcome, retryAfterMS int) {
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":{"message":"m","code":"c","outcome":%q,"retry_after_ms":%d}}`, o, retryAfterMS)
}

func fastRetry() Options { return Options{Backoff: time.Millisecond, BackoffMax: 2 * time.Millisecond} }

// TestGenerateGoesOnAtNextRouter guards against an answer with a token missing or repeated
// after a router crashed. The router sends three complete events and half of a fourth, then
// its connection breaks, and the client reconnects to the next router. The client must not
// count the half event, and must send an event id and a text that match.
func TestGenerateGoesOnAtNextRouter(t *testing.T) {
	half := strings.TrimSuffix(chunk(4, " d"), "\n\n")
	first := newRouter(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		abortAfter(w, chunk(1, " a")+chunk(2, " b")+chunk(3, " c")+half)
	})
	second := newRouter(t, func(w http.ResponseWriter, r *http.Request) {
		var body completionBody
		json.NewDecoder(r.Body).Decode(&body)
		if r.Header.Get("Last-Event-ID") != "c3" || body.ResumeText != " a b c" {
			refuse(w, http.StatusBadRequest, fleet.NotRun, 0)
			return
		}
		io.WriteString(w, chunk(4, " D")+chunk(5, " E")+done)
	})
	var got []string
	c := New([]string{first, second}, "k", fastRetry())
	res, err := c.Generate(t.Context(), Request{Model: "m"}, func(s string) { got = append(got, s) })
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{" a", " b", " c", " D", " E"}, got); diff != "" {
		t.Error(diff)
	}
	if res.Text != " a b c D E" || res.Reconnects != 1 || len(res.Gaps) != 1 || res.Gaps[0].EventsBefore != 3 {
		t.Errorf("result %+v", res)
	}
}

// TestNotRunAfterLostRouterIsUnknown guards against not-run being returned for a request
// that an engine has run. The first router receives the request and crashes; the second
// router has no record of the request and refuses with not-run, which is true only of the
// second try.
func TestNotRunAfterLostRouterIsUnknown(t *testing.T) {
	first := newRouter(t, func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) })
	second := newRouter(t, func(w http.ResponseWriter, r *http.Request) { refuse(w, 403, fleet.NotRun, 0) })
	res, err := New([]string{first, second}, "k", fastRetry()).Generate(t.Context(), Request{}, nil)
	var ref *Refusal
	if !errors.As(err, &ref) || res.Outcome != fleet.Unknown {
		t.Errorf("outcome %s, error %v", res.Outcome, err)
	}
}

func TestRefusalsEndOrWait(t *testing.T) {
	final := "event: error\ndata: {\"error\":{\"code\":\"c\",\"outcome\":\"failed\",\"retry_after_ms\":1}}\n\n"
	cases := []struct {
		name    string
		answer  func(w http.ResponseWriter)
		retried bool
		outcome fleet.Outcome
	}{
		{"overloaded", func(w http.ResponseWriter) { refuse(w, 429, fleet.NotRun, 1) }, true, fleet.Complete},
		{"not ready", func(w http.ResponseWriter) { refuse(w, 503, fleet.NotRun, 1) }, true, fleet.Complete},
		{"may have run", func(w http.ResponseWriter) { refuse(w, 503, fleet.Unknown, 1) }, false, fleet.Unknown},
		{"key still running", func(w http.ResponseWriter) {
			w.WriteHeader(409)
			io.WriteString(w, `{"error":{"code":"in_progress","outcome":"unknown","retry_after_ms":1}}`)
		}, true, fleet.Complete},
		{"bad request", func(w http.ResponseWriter) { refuse(w, 400, fleet.NotRun, 1) }, false, fleet.NotRun},
		{"error inside the stream", func(w http.ResponseWriter) { io.WriteString(w, chunk(1, " a")+final) }, false, fleet.Failed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var tries atomic.Int32
			url := newRouter(t, func(w http.ResponseWriter, r *http.Request) {
				if tries.Add(1) == 1 {
					tc.answer(w)
					return
				}
				io.WriteString(w, chunk(1, " x")+done)
			})
			res, _ := New([]string{url}, "k", fastRetry()).Generate(t.Context(), Request{}, nil)
			if retried := tries.Load() > 1; retried != tc.retried || res.Outcome != tc.outcome {
				t.Errorf("sent again %v, outcome %s; want %v, %s", retried, res.Outcome, tc.retried, tc.outcome)
			}
		})
	}
}

// TestSilentRouterIsLeft guards against a caller waiting for a frozen router until the
// deadline of the request. The router sends one event and then nothing; the kernel keeps
// the router's connection open, so no read fails.
func TestSilentRouterIsLeft(t *testing.T) {
	first := newRouter(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, chunk(1, " a"))
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	second := newRouter(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, chunk(2, " b")+done) })
	opts := fastRetry()
	opts.IdleTimeout = 20 * time.Millisecond
	req := Request{Timeout: 10 * time.Second} // ends the test if the client keeps waiting
	res, err := New([]string{first, second}, "k", opts).Generate(t.Context(), req, nil)
	if err != nil || res.Text != " a b" {
		t.Errorf("text %q, error %v", res.Text, err)
	}
}

// TestPostIsNotReplayedByTransport guards against one non-idempotent call arriving twice.
// The router reads the request on a reused connection and closes the connection without an
// answer. net/http considers a request with an idempotency key replayable and resends the
// request if its body can be rewound.
func TestPostIsNotReplayedByTransport(t *testing.T) {
	var posts atomic.Int32
	url := newRouter(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			posts.Add(1)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Wigeon-Outcome", string(fleet.Complete))
	})
	c := New([]string{url}, "k", fastRetry())
	if _, err := c.Call(context.Background(), CallRequest{Service: "s", Path: "warm"}); err != nil {
		t.Fatal(err)
	}
	for _, body := range [][]byte{nil, []byte("book")} {
		posts.Store(0)
		res, err := c.Call(context.Background(), CallRequest{Service: "s", Method: http.MethodPost, Path: "book", Body: body})
		if err == nil || res.Outcome != fleet.Unknown || posts.Load() != 1 {
			t.Errorf("body %q: outcome %s, error %v, arrived %d times", body, res.Outcome, err, posts.Load())
		}
		if _, err := c.Call(context.Background(), CallRequest{Service: "s", Path: "warm"}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against an answer that no router states to be the service's, such as that of a proxy, counting as complete.
func TestAnswerWithoutAStatedOutcomeIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		outcomes []string
		want     fleet.Outcome
	}{
		{[]string{"complete"}, fleet.Complete}, {nil, fleet.Unknown}, {[]string{""}, fleet.Unknown}, {[]string{"done"}, fleet.Unknown},
		{[]string{"complete", "not-run"}, fleet.Unknown}, {[]string{"complete, complete"}, fleet.Unknown},
		{[]string{"not-run", "complete"}, fleet.Unknown}, {[]string{"not-run"}, fleet.NotRun},
	} {
		url := newRouter(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["Wigeon-Outcome"] = c.outcomes
			w.WriteHeader(http.StatusBadGateway)
			io.WriteString(w, "page of a proxy")
		})
		res, err := New([]string{url}, "k", fastRetry()).Call(t.Context(), CallRequest{Service: "s", Method: http.MethodPost, Path: "book", NonIdempotent: true})
		if res.Outcome != c.want || (err == nil) != (c.want == fleet.Complete) {
			t.Errorf("%q: outcome %q, %v", c.outcomes, res.Outcome, err)
		}
	}
}
