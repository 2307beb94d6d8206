package directory

import (
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// TestWithdrawnBackendIsNotUsed guards against work that is sent to a replica whose leaving
// this router would not get to know, and against a replica that stays unused after it is
// listed again. A request that runs there goes on.
func TestWithdrawnBackendIsNotUsed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := New(nil)
		b := fleet.Backend{ID: "e", Kind: fleet.Service, Service: "llm"}
		d.Apply([]fleet.Backend{b}, nil, time.Now())
		share := d.Begin("e", Load{Requests: 1})
		d.Withdraw([]string{"e", "unknown"}, time.Now())
		if !d.Leaving("e") {
			t.Error("a withdrawn backend server is used")
		}
		if _, known := d.Backend("e"); !known {
			t.Error("a backend server with a request in progress is unknown")
		}
		d.Apply([]fleet.Backend{b}, nil, time.Now())
		if d.Leaving("e") {
			t.Error("a backend server that is listed again is not used")
		}
		share.End()
		d.Withdraw([]string{"e"}, time.Now())
		time.Sleep(missingGrace)
		d.Apply(nil, nil, time.Now())
		if !d.Empty() || len(d.Service("llm")) != 0 {
			t.Error("a withdrawn backend server is kept for ever")
		}
	})
}
