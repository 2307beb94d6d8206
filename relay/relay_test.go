package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/route"
)

// ends is a Runner with one result.
type ends struct {
	res generation.Result
	got *generation.Request
}

func (e ends) Run(_ context.Context, req generation.Request, _ generation.Sink) generation.Result {
	*e.got = req
	return e.res
}

type noBudgets struct{}

func (noBudgets) First(string) {}

func serve(t *testing.T, res generation.Result, req *Request, change func(*route.Config)) (Result, generation.Request) {
	t.Helper()
	cfg := &route.Config{Version: 1, Accounts: []route.Account{{Name: "acc", Keys: []string{"k"}, Priority: 3, HasPriority: true}}, Routes: []route.Route{
		{Host: "h", Prefix: "/p/", Service: "svc", Kind: route.Once, Timeout: 2 * time.Second, MaxAttempts: 1, Priority: 7},
		{Host: "h", Prefix: "/open/", Service: "svc", Open: true},
	}}
	if change != nil {
		change(cfg)
	}
	table := &route.Current{}
	table.Install(route.NewTable(cfg))
	var got generation.Request
	r := New(Config{Table: table, Runner: ends{res, &got}, Budgets: noBudgets{}})
	return r.Serve(t.Context(), req, nil), got
}

// Symptom: a client is told that nothing ran, and asks again, though it had run;
// or an answer that was cut looks whole. The promise of a refusal may be given
// only with an outcome that holds it.
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

// Symptom: a client comes back when its time is over. Cause: it is told to wait
// for longer than a third of what it has left.
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

// Symptom: a request that may run once is tried elsewhere, a request outlives its
// route's time, or an account's priority does not go before that of the route.
func TestRouteDecidesWhatMayBeRepeated(t *testing.T) {
	_, got := serve(t, generation.Result{Outcome: fleet.Complete}, &Request{Host: "h", Path: "/p/x", Key: "k", ClientTimeout: time.Hour}, nil)
	left := got.Opaque.Deadline.Remaining()
	if !got.NonIdempotent || got.Opaque.Urgency != 3 || got.Account != "acc" || left > 2*time.Second || left < time.Second {
		t.Errorf("got %+v with %v left", got, left)
	}
}

// Symptom: clients that come back right after a start are told to wait for two seconds.
// Sequence: all routers were killed; a request comes before its router has read the
// configuration, which it has a tenth of a second later. Cause: a start was taken for a
// store that is away. While the store is away they are told so.
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
			synctest.Test(t, func(t *testing.T) {
				table := &route.Current{}
				var got generation.Request
				r := New(Config{Table: table, Runner: ends{generation.Result{Outcome: fleet.Complete}, &got}, Budgets: noBudgets{}})
				timer := time.AfterFunc(c.known, func() {
					table.Install(route.NewTable(&route.Config{Version: 1, Routes: []route.Route{{Host: "h", Prefix: "/", Service: "svc", Open: true}}}))
				})
				defer timer.Stop()
				time.Sleep(c.sent)
				asked := time.Now()
				v := r.Serve(t.Context(), &Request{Host: "h", Path: "/", ClientTimeout: 9 * time.Second}, nil)
				if v.Status != c.want {
					t.Errorf("got %+v", v)
				}
				if held := time.Since(asked); held > startGrace+startPoll || c.sent > startGrace && held > 0 {
					t.Errorf("held for %v", held)
				}
			})
		})
	}
}
