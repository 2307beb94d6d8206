package backpressure

import (
	"errors"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// Guards against a leaving that is undone by an older word, or that is forgotten while the backend server may
// still run, and against one that marks a new lifetime.
func TestLeavingIsForGood(t *testing.T) {
	tr, start := alone(), time.Unix(1000, 0)
	told := 0
	tr.cfg.OnLeaving = func(string) { told++ }
	tr.Observe(server, start, start, backend.Statement{Leaving: true})
	tr.Observe(server, start, start, backend.Statement{Leaving: true})
	tr.Observe(server, start.Add(time.Second), start.Add(2*time.Second), backend.Statement{})
	tr.HandleUpdate("n1", Update{Backend: server.ID, Limit: 9}, start.Add(3*time.Second))
	for now := start.Add(4 * time.Second); now.Sub(start) < rememberLeaving; now = now.Add(time.Minute) {
		tr.Tick(now)
		if err := tr.Permit(server, backend.Work, now); !errors.Is(err, ErrLeaving) || !errors.Is(err, backend.ErrNotSent) {
			t.Fatalf("after %v: %v", now.Sub(start), err)
		}
		if tr.Accepts(server.ID, now) {
			t.Fatalf("after %v the choice accepts it", now.Sub(start))
		}
	}
	if told != 1 {
		t.Errorf("the leaving was reported %d times", told)
	}
	next := fleet.Backend{ID: "b2", Service: server.Service, Addr: server.Addr}
	if err := tr.Permit(next, backend.Work, start); err != nil {
		t.Errorf("the next lifetime: %v", err)
	}
}

// Guards against runs at a leaving backend server that can't be asked about or copied any more.
func TestLeavingBackendIsStillAskedAboutItsRuns(t *testing.T) {
	tr, now := alone(), time.Unix(1000, 0)
	tr.MarkLeaving(server.ID, now)
	for _, why := range []backend.Purpose{backend.RunQuery, backend.Optional} {
		if err := tr.Permit(server, why, now); err != nil {
			t.Errorf("purpose %d: %v", why, err)
		}
	}
}
