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

// Symptom: a booking made twice, or told not-run although it was made.
// Sequence: a call's answer breaks off, errs without a type, or is lost on the
// way to the caller, who repeats it; or the key reaches net/http's transport.
// Cause: a wrong rule of idempotence, a too kind outcome, a replayable header.
func TestServices(t *testing.T) {
	var calls []callerapi.ServiceCall
	hangUp := func() {}
	result := func() (*http.Response, error) {
		h := http.Header{"X-A": {"1"}, "Connection": {"close"}}
		return &http.Response{StatusCode: 201, Header: h, Body: io.NopCloser(strings.NewReader("done"))}, nil
	}
	s := newServer(t, never(t), func(c *callerapi.Config) {
		c.Services = services(func(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error) {
			hangUp()
			if ctx.Err() != nil {
				t.Error("the caller's hanging up ends a call that may not be repeated")
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
	hanging, cancel := context.WithCancel(context.Background())
	hangUp = cancel
	r := httptest.NewRequest(http.MethodPost, "/services/tags/h", nil).WithContext(hanging)
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
		t.Error("a POST marked as idempotent is not")
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
		broken := io.MultiReader(strings.NewReader("do"), failing{})
		return &http.Response{StatusCode: 200, Body: io.NopCloser(broken)}, nil
	}
	if f := failureIn(t, post(s, "/services/tags/e", "x")); f.Outcome != "unknown" {
		t.Errorf("broken off: %+v", f)
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
