package callerapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wigeondale/generation"
)

func FuzzBody(f *testing.F) {
	f.Add([]byte(body), "")
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"\ud800"}]}`), "AQ")
	s := newServer(f, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
		tokens(sink, 0, "end")
		return complete
	})
	f.Fuzz(func(t *testing.T, raw []byte, last string) {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
			resp := post(s, path, string(raw), "Last-Event-ID: "+last)
			if resp.StatusCode == http.StatusOK {
				continue
			}
			got := failureIn(t, resp)
			want := "not-run"
			if last != "" || strings.HasPrefix(got.Message, "resume_text: only") {
				want = "unknown" // the caller reconnects, so the request may have run earlier
			}
			if got.Outcome != want {
				t.Fatalf("got %+v, want %s", got, want)
			}
		}
	})
}

// TestTokenDoesNotAllocate checks that Token allocates nothing, because Token is called for
// every token of every stream.
func TestTokenDoesNotAllocate(t *testing.T) {
	var allocs float64
	text := []byte(" 12.ab.cd\n")
	stream(t, func(sink generation.Sink) {
		allocs = testing.AllocsPerRun(500, func() { sink.Token(1, text, "") })
	})
	if allocs >= 1 {
		t.Errorf("%v allocations a token", allocs)
	}
}

func BenchmarkToken(b *testing.B) {
	stream(b, func(sink generation.Sink) {
		text := []byte(" 12.abcd.01234567")
		b.ReportAllocs()
		for b.Loop() {
			sink.Token(1, text, "")
		}
	})
}

type discard struct{ h http.Header }

func (d discard) Header() http.Header       { return d.h }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
func (discard) Flush()                      {}
func (discard) SetWriteDeadline(time.Time) error {
	return nil
}

// stream sends a streamed request to a server whose runner calls f with the sink of the
// request.
func stream(t testing.TB, f func(generation.Sink)) {
	s := newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
		tokens(sink, 0, "one ")
		f(sink)
		return complete
	})
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer sk-acme")
	s.ServeHTTP(discard{http.Header{}}, r)
}
