package callerapi_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"wigeondale/callerapi"
	"wigeondale/fleet"
)

// TestServices guards against a non-idempotent call running twice, or being reported as
// not-run although it ran. There are four causes. The answer of a call breaks off. The call
// fails with an untyped error. The answer is lost on the way to the caller, and the caller
// repeats the call. The key header is passed on, and net/http's transport therefore resends
// the call.
func TestServices(t *testing.T) {
	var calls []callerapi.ServiceCall
	disconnect := func() {}
	result := func() (*http.Response, error) {
		h := http.Header{"X-A": {"1"}, "Connection": {"close"}}
		return &http.Response{StatusCode: 201, Header: h, Body: io.NopCloser(strings.NewReader("done"))}, nil
	}
	s := newServer(t, neverRuns(t), func(c *callerapi.Config) {
		c.Services = serviceFunc(func(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error) {
			disconnect()
			if ctx.Err() != nil {
				t.Error("the caller's disconnect cancelled a call that must not be repeated")
			}
			calls = append(calls, call)
			return result()
		})
	})
	for range 2 {
		resp := post(s, "/services/tags/a%2Fb/c?q=1", "x", "Idempotency-Key: k", "X-Idempotency-Key: k", "X-B: 2")
		raw, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 201 || string(raw) != "done" || resp.Header.Get("X-A") != "1" {
			t.Fatalf("got %d %q", resp.StatusCode, raw)
		}
	}
	if len(calls) != 1 {
		t.Fatalf("%d calls", len(calls))
	}
	ctx, cancel := context.WithCancel(context.Background())
	disconnect = cancel
	r := httptest.NewRequest(http.MethodPost, "/services/tags/h", nil).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer sk-acme")
	s.ServeHTTP(httptest.NewRecorder(), r)
	c := calls[0]
	if c.Idempotent || c.Service != "tags" || c.Path != "a%2Fb/c" || c.Query != "q=1" || len(c.Header) != 1 || string(c.Body) != "x" {
		t.Errorf("got %+v", c)
	}
	if f := failureIn(t, post(s, "/services/tags/c", "x", "Idempotency-Key: k")); f.Code != "key_reused" {
		t.Errorf("other call: %+v", f)
	}
	post(s, "/services/tags/c", "x", "Wigeon-Non-Idempotent: false")
	if !calls[len(calls)-1].Idempotent {
		t.Error("a POST marked as idempotent is passed on as non-idempotent")
	}
	for want, err := range map[string]error{
		"unknown": io.ErrUnexpectedEOF,
		"not-run": &callerapi.Failure{Status: 503, Code: "no_replica", Message: "none", Outcome: fleet.NotRun},
	} {
		result = func() (*http.Response, error) { return nil, err }
		if f := failureIn(t, post(s, "/services/tags/d", "x")); f.Outcome != want {
			t.Errorf("%v: %+v", err, f)
		}
	}
	result = func() (*http.Response, error) {
		broken := io.MultiReader(strings.NewReader("do"), failingReader{})
		return &http.Response{StatusCode: 200, Body: io.NopCloser(broken)}, nil
	}
	if f := failureIn(t, post(s, "/services/tags/e", "x")); f.Outcome != "unknown" {
		t.Errorf("broken off: %+v", f)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
