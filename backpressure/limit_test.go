package backpressure

import (
	"errors"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
)

var server = fleet.Backend{ID: "b1", Service: "app"}

func alone(nodes ...string) *Tracker {
	if len(nodes) == 0 {
		nodes = []string{"n0"}
	}
	return New(Config{Node: "n0", Nodes: func() []string { return nodes }})
}

func stated(limit float64) backend.Statement {
	return backend.Statement{Limit: limit, HasLimit: true}
}

func (t *Tracker) rate(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.byID[id]; st != nil {
		return st.limit.rate
	}
	return 0
}

// Guards against an answer that was overtaken by a newer one and then lifts or raises the limit.
func TestOvertakenAnswersDoNotRaiseALimit(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	tr := alone()
	tr.Observe(server, at(0), at(2), stated(3))
	for _, c := range []struct {
		name           string
		sent, answered int
		says           backend.Statement
		want           float64
	}{
		{"no limit, sent before the limit was known", 1, 3, backend.Statement{}, 3},
		{"a higher one, sent before", 1, 4, stated(9), 3},
		{"a lower one, sent before", 1, 5, stated(2), 2},
		{"unclear", 6, 7, backend.Statement{LimitUnclear: true}, 2},
		{"a higher one, sent after", 8, 9, stated(9), 9},
		{"no limit, sent after", 10, 11, backend.Statement{}, 0},
		{"no limit once more", 12, 13, backend.Statement{}, 0},
		{"zero", 14, 15, stated(0), minLimit},
		{"as good as none", 16, 17, stated(1e300), 0},
	} {
		tr.Observe(server, at(c.sent), at(c.answered), c.says)
		if got := tr.rate(server.ID); got != c.want {
			t.Errorf("%s: the limit is %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a limit that is dropped because no answer has come for a minute.
func TestLimitHoldsWithoutFurtherAnswers(t *testing.T) {
	tr, now := alone(), time.Unix(1000, 0)
	tr.Observe(server, now, now, stated(0.2))
	sent := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		tr.Tick(now)
		if tr.Permit(server, backend.Work, now) == nil {
			sent++
		}
	}
	if most := int(0.2*60) + 1; sent > most || tr.rate(server.ID) != 0.2 {
		t.Errorf("%d requests in a minute, at most %d expected; the limit is %v", sent, most, tr.rate(server.ID))
	}
}

// Guards against a withheld request that counts as sent, and against optional requests that take what the
// limit leaves for the work.
func TestWithheldRequestsWereNotSent(t *testing.T) {
	tr, now := alone(), time.Unix(1000, 0)
	tr.Observe(server, now, now, stated(2))
	if err := tr.Permit(server, backend.Optional, now); !errors.Is(err, backend.ErrWithheld) || !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("an optional request: %v", err)
	}
	if err := tr.Permit(server, backend.Work, now); err != nil {
		t.Errorf("the first request: %v", err)
	}
	if err := tr.Permit(server, backend.Work, now); !errors.Is(err, backend.ErrWithheld) {
		t.Errorf("the second request: %v", err)
	}
}

// Guards against an update that is older than what this router knows, or that arrives after the limit's end.
func TestOutdatedUpdatesAreIgnored(t *testing.T) {
	tr, now := alone(), time.Unix(1000, 0)
	tr.HandleUpdate("n1", Update{Backend: server.ID, Limit: 4, AgeMS: 100}, now)
	tr.HandleUpdate("n2", Update{Backend: server.ID, Limit: 7, AgeMS: 900}, now)
	if got := tr.rate(server.ID); got != 4 {
		t.Errorf("an older update: the limit is %v", got)
	}
	tr.HandleUpdate("n1", Update{Backend: server.ID}, now.Add(time.Second))
	tr.HandleUpdate("n2", Update{Backend: server.ID, Limit: 7, AgeMS: 900}, now.Add(1500*time.Millisecond))
	if got := tr.rate(server.ID); got != 0 {
		t.Errorf("an update older than the end: the limit is %v", got)
	}
}

// Guards against clients that all come back at the same moment, when all backend servers of the service are
// limited: they would be refused again together.
func TestClientsComeBackOneAfterTheOther(t *testing.T) {
	const limit, refused = 5.0, 20
	tr, now := alone(), time.Unix(1000, 0)
	tr.Observe(server, now, now, stated(limit))
	var last time.Duration
	for i := range refused {
		wait := tr.Wait([]string{server.ID}, now)
		turn := time.Duration(float64(i+1) / (usedShare * limit) * float64(time.Second))
		if wait < turn-time.Millisecond || wait > time.Duration((1+waitSpread)*float64(turn)) {
			t.Errorf("client %d is told to wait %v, its turn comes after %v", i, wait, turn)
		}
		last = max(last, wait)
	}
	if last > time.Duration((1+waitSpread)*float64(maxWait)) {
		t.Errorf("a client is told to wait %v", last)
	}
}
