package soak

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// Guards against an end without an answer that the soak overlooks, and against one that it reports although the
// router or a replica was in trouble.
func TestEndsOfRequestsAreJudged(t *testing.T) {
	const router = "n0/1"
	sound, silent, crashed := &fakes.Replica{ID: "sound"}, &fakes.Replica{ID: "silent"}, &fakes.Replica{ID: "crashed"}
	type periods = map[any][]*timePeriod
	start := time.Now()
	period := func(of any, after time.Duration) periods {
		return periods{of: {{from: start.Add(after), to: start.Add(after + time.Second)}}}
	}
	reset := errors.New("connection reset")
	for name, c := range map[string]struct {
		result   result
		trouble  periods
		replicas []*fakes.Replica
		broken   string // part of the promise
	}{
		"complete": {result{status: 200}, nil, []*fakes.Replica{silent}, ""},
		"no answer on a connection to an earlier process": {result{err: reset, connection: "n0/0"}, nil, nil, ""},
		"no answer on a connection to this process":       {result{err: reset, connection: router}, nil, nil, "no connection"},
		"client left":                    {result{status: 200, abandoned: true, err: reset}, nil, []*fakes.Replica{sound}, ""},
		"cut":                            {result{status: 200, err: reset}, nil, []*fakes.Replica{sound}, "complete answer"},
		"cut, replica silent":            {result{status: 200, err: reset}, nil, []*fakes.Replica{silent}, "complete answer"},
		"cut, replica crashed":           {result{status: 200, err: reset}, period(crashed, 0), []*fakes.Replica{silent, crashed}, ""},
		"cut, replica crashed later":     {result{status: 200, err: reset}, period(crashed, 3*time.Second), []*fakes.Replica{crashed}, "complete answer"},
		"cut, another replica crashed":   {result{status: 200, err: reset}, period(crashed, 0), []*fakes.Replica{sound}, "complete answer"},
		"cut, router killed":             {result{status: 200, err: reset}, period(router, 0), []*fakes.Replica{sound}, ""},
		"cut at the time limit":          {result{status: 200, err: reset, duration: routeTimeout}, nil, []*fakes.Replica{silent}, ""},
		"no answer":                      {result{err: reset}, nil, nil, "without an answer"},
		"no answer, replica crashed":     {result{err: reset}, period(crashed, 0), []*fakes.Replica{crashed}, "without an answer"},
		"no answer, router killed":       {result{err: reset}, period(router, 500*time.Millisecond), nil, ""},
		"no answer within client's time": {result{err: context.DeadlineExceeded, duration: maxAnswerTime}, nil, nil, ""},
		"router not started":             {result{err: syscall.ECONNREFUSED}, nil, nil, ""},
		"502, replica silent":            {result{status: 502}, nil, []*fakes.Replica{silent}, "without an answer"},
		"502, replica silent and crash":  {result{status: 502}, period(crashed, 0), []*fakes.Replica{silent, crashed}, ""},
		"502, no replica silent":         {result{status: 502}, nil, []*fakes.Replica{sound}, ""},
		"refused, replica silent":        {result{status: 503}, nil, []*fakes.Replica{silent}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			k := newChecks(true)
			k.ends.silences.periods, k.ends.trouble.periods = period(silent, 0), c.trouble
			c.result.id, c.result.incarnation, c.result.startedAt = "q", router, start
			if c.result.duration == 0 {
				c.result.duration = time.Second
			}
			k.ends.add(c.result)
			var visits []visit
			for _, rep := range c.replicas {
				visits = append(visits, visit{replica: rep, at: start})
			}
			k.checkEnds(map[string][]visit{"q": visits})
			if found := len(k.violations) == 1; found != (c.broken != "") || found && !strings.Contains(k.violations[0].Promise, c.broken) {
				t.Errorf("found %v, want %q", k.violations, c.broken)
			}
		})
	}
}

// Guards against a request that counts as ended by a silence although its silent replica refused it, and against one that
// was given up for a silence and is excused by a refusal that is not its end.
func TestRefusalsOfSilentReplicasAreJudged(t *testing.T) {
	const took = time.Second
	start := time.Now()
	first, second := &fakes.Replica{ID: "first"}, &fakes.Replica{ID: "second"}
	at := func(rep *fakes.Replica, after time.Duration, refused bool) visit {
		return visit{replica: rep, at: start.Add(after), refused: refused}
	}
	for name, c := range map[string]struct {
		visits []visit
		broken bool
	}{
		"refused at the end":                 {[]visit{at(first, 900*time.Millisecond, true)}, false},
		"refused long before the end":        {[]visit{at(first, 300*time.Millisecond, true)}, true},
		"refused after the end":              {[]visit{at(first, took+time.Millisecond, true)}, true},
		"run":                                {[]visit{at(first, 900*time.Millisecond, false)}, true},
		"run before, refused at the end":     {[]visit{at(first, 0, false), at(first, 900*time.Millisecond, true)}, true},
		"one run, another refused":           {[]visit{at(first, 0, false), at(second, 900*time.Millisecond, true)}, true},
		"both refused":                       {[]visit{at(second, 900*time.Millisecond, true), at(first, 300*time.Millisecond, true)}, false},
		"refused, another reads it too late": {[]visit{at(first, 900*time.Millisecond, true), at(second, 2*took, false)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			k := newChecks(true)
			defer k.ends.silences.begin(first)()
			defer k.ends.silences.begin(second)()
			r := result{id: "q", kind: "look", status: http.StatusBadGateway, incarnation: "n0/1", startedAt: start, duration: took}
			k.ends.add(r)
			k.checkEnds(map[string][]visit{"q": c.visits})
			if found := len(k.violations) > 0; found != c.broken {
				t.Errorf("found %v", k.violations)
			}
		})
	}
}
