package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/route"
)

// fixedResult is a Runner that always returns the same result.
type fixedResult struct {
	result generation.Result
	got    *generation.Request
}

func (e fixedResult) Run(_ context.Context, req generation.Request, _ generation.Sink) generation.Result {
	*e.got = req
	return e.result
}

type noBudgets struct{}

func (noBudgets) First(string) {}

func serve(t *testing.T, res generation.Result, req *Request, change func(*route.Config)) (Result, generation.Request) {
	t.Helper()
	cfg := &route.Config{Version: 1, Accounts: []route.Account{{Name: "acc", Keys: []string{"k"}, Priority: 3, StatedPriority: 3, HasPriority: true}}, Routes: []route.Route{
		{Host: "h", Prefix: "/p/", Service: "svc", Kind: route.Once, Timeout: 2 * time.Second, MaxAttempts: 1, Priority: 7},
		{Host: "h", Prefix: "/open/", Service: "svc", Open: true},
	}}
	if change != nil {
		change(cfg)
	}
	table := &route.Current{FirstStart: true}
	table.Install(route.NewTable(cfg))
	var got generation.Request
	r := New(Config{Table: table, Runner: fixedResult{res, &got}, Budgets: noBudgets{}})
	return r.Serve(t.Context(), req, nil), got
}

// A refusal states that nothing ran, so that the client may send the request again. Therefore
// the relay may send a refusal only for outcomes of which this is true: otherwise a request
// that had run would run twice. An answer that was truncated must not look complete.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		res  generation.Result
		want Result
	}{
		{generation.Result{Outcome: fleet.Complete}, Result{}},
		{generation.Result{Outcome: fleet.NotRun, RetryAfter: time.Second}, Result{Status: 503, RetryAfter: time.Second}},
		{generation.Result{Outcome: fleet.Failed}, Result{Status: 502}},
		{generation.Result{Outcome: fleet.Unknown}, Result{Status: 502}},
		{generation.Result{Outcome: fleet.Failed, Tokens: 1}, Result{Broken: true}},
		{generation.Result{Outcome: fleet.Unknown, Tokens: 1}, Result{Broken: true}},
	} {
		v, _ := serve(t, c.res, &Request{Host: "h", Path: "/p/x", Key: "k", ClientTimeout: 9 * time.Second}, nil)
		if v != c.want {
			t.Errorf("%+v: got %+v, want %+v", c.res, v, c.want)
		}
	}
}

// A client must not be told to wait for longer than a third of its remaining time:
// otherwise it would send its request again when its time is over.
func TestAdviceFitsTheClientsTime(t *testing.T) {
	res := generation.Result{Outcome: fleet.NotRun, RetryAfter: 5 * time.Second}
	v, _ := serve(t, res, &Request{Host: "h", Path: "/p/x", Key: "k", ClientTimeout: 3 * time.Second}, nil)
	if v.RetryAfter > time.Second || v.RetryAfter < 500*time.Millisecond {
		t.Errorf("got %v", v.RetryAfter)
	}
	r := New(Config{Table: &route.Current{}})
	v = r.Serve(t.Context(), &Request{ClientTimeout: 600 * time.Millisecond}, nil)
	if v.Status != http.StatusServiceUnavailable || v.RetryAfter > 200*time.Millisecond {
		t.Errorf("without a configuration: got %+v", v)
	}
}

func TestDenials(t *testing.T) {
	for _, c := range []struct {
		req  Request
		want int
	}{
		{Request{Host: "h", Path: "/p/x"}, 401},
		{Request{Host: "h", Path: "/p/x", Key: "other"}, 401},
		{Request{Host: "h", Path: "/x", Key: "k"}, 404},
		{Request{Host: "g", Path: "/p/x", Key: "k"}, 404},
		{Request{Host: "h", Path: "/open/x"}, 0},
		{Request{Host: "h", Path: "/open/x", Key: "other"}, 0},
	} {
		v, _ := serve(t, generation.Result{Outcome: fleet.Complete}, &c.req, nil)
		if v.Status != c.want {
			t.Errorf("%+v: got %d", c.req, v.Status)
		}
	}
	v, got := serve(t, generation.Result{Outcome: fleet.Complete}, &Request{Host: "h", Path: "/p/x"}, func(c *route.Config) { c.Keyless = true })
	if v.Status != 0 || got.Account != "" {
		t.Errorf("without accounts: got %+v as %q", v, got.Account)
	}
}

// A request that may run only once must not be tried again elsewhere, a request must not
// outlive its route's timeout, and an account's priority must override the priority of the
// route.
func TestRouteDecidesWhatMayBeRepeated(t *testing.T) {
	_, got := serve(t, generation.Result{Outcome: fleet.Complete}, &Request{Host: "h", Path: "/p/x", Key: "k", ClientTimeout: time.Hour}, nil)
	left := got.Opaque.Deadline.Remaining()
	if !got.NonIdempotent || got.Opaque.StatedPriority != 3 || got.Account != "acc" || left > 2*time.Second || left < time.Second {
		t.Errorf("got %+v with %v left", got, left)
	}
}

// All routers have crashed and start again. A request arrives before its router has read the
// configuration, which the router does a tenth of a second later. The request must wait for
// the configuration and then be served: if the router treated its own start like an
// unreachable store, the client would be told to wait for two seconds. Only if the store
// really is unreachable must the client be told to wait for two seconds.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		known time.Duration // after the start
		sent  time.Duration
		want  int
	}{
		"it comes soon":      {100 * time.Millisecond, time.Millisecond, 0},
		"the store is away":  {time.Hour, time.Millisecond, http.StatusServiceUnavailable},
		"long after a start": {time.Hour, time.Minute, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				table := &route.Current{}
				var got generation.Request
				r := New(Config{Table: table, Runner: fixedResult{generation.Result{Outcome: fleet.Complete}, &got}, Budgets: noBudgets{}})
				timer := time.AfterFunc(c.known, func() {
					table.Install(route.NewTable(&route.Config{Version: 1, Routes: []route.Route{{Host: "h", Prefix: "/", Service: "svc", Open: true}}}))
				})
				defer timer.Stop()
				time.Sleep(c.sent)
				sentAt := time.Now()
				v := r.Serve(t.Context(), &Request{Host: "h", Path: "/", ClientTimeout: 9 * time.Second}, nil)
				if v.Status != c.want {
					t.Errorf("got %+v", v)
				}
				if waited := time.Since(sentAt); waited > startGrace+startPoll || c.sent > startGrace && waited > 0 {
					t.Errorf("waited for %v", waited)
				}
			})
		})
	}
}

// Guards against a request that runs although it can't be known which request, or which part of a stream, its client means.
func TestRequestThatCannotBeReadIsNotRun(t *testing.T) {
	streams := func(c *route.Config) {
		c.Routes = []route.Route{
			{Host: "h", Prefix: "/p/", Service: "svc", Kind: route.Stream, Resumable: true, MaxAttempts: 1},
			{Host: "h", Prefix: "/once/", Service: "svc", Kind: route.Stream, MaxAttempts: 1},
			{Host: "h", Prefix: "/plain/", Service: "svc", Kind: route.Repeatable, MaxAttempts: 1},
		}
	}
	for _, c := range []struct {
		path   string
		change func(*Request)
		want   int
	}{
		{"/p/x", func(*Request) {}, 0},
		{"/p/x", func(r *Request) { r.Unreadable = "X-Id" }, http.StatusBadRequest},
		{"/plain/x", func(r *Request) { r.Unreadable = "X-Id" }, http.StatusBadRequest},
		{"/p/x", func(r *Request) { r.ResumeUnreadable = "X-Last" }, http.StatusBadRequest},
		{"/plain/x", func(r *Request) { r.ResumeUnreadable = "X-Last" }, 0},
		{"/p/x", func(r *Request) { r.FirstChunk, r.HasPartialAnswer = 13, true }, 0},
		{"/once/x", func(r *Request) { r.FirstChunk, r.HasPartialAnswer = 13, true }, http.StatusBadRequest},
		{"/plain/x", func(r *Request) { r.FirstChunk, r.HasPartialAnswer = 13, true }, 0},
		{"/p/x", func(r *Request) { r.NoStreams = true }, http.StatusUpgradeRequired},
		{"/plain/x", func(r *Request) { r.NoStreams = true }, 0},
	} {
		req := &Request{Host: "h", Path: c.path, Key: "k"}
		c.change(req)
		v, got := serve(t, generation.Result{Outcome: fleet.Complete}, req, streams)
		if ran := got.Opaque != nil; v.Status != c.want || ran != (c.want == 0) {
			t.Errorf("%+v: status %d, ran %v, want %d", req, v.Status, ran, c.want)
		}
	}
}
