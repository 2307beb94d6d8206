package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/fakes/endless"
	"wigeondale/health"
)

// Guards against a replica that stays healthy although the bodies of its answers never end: the head of
// each counted as a success. On 8472d66 it fails: the replica is healthy after 20 calls.
func TestReplicaOfBodiesWithoutEndIsLeft(t *testing.T) {
	for _, kind := range []endless.Kind{endless.Unframed, endless.Chunks, endless.Length} {
		srv, err := endless.NewServer(func(*http.Request) endless.Answer { return endless.Answer{Kind: kind} })
		if err != nil {
			t.Fatal(err)
		}
		defer srv.Close()
		s := newTestServices(t, srv.Addr())
		calls := 0
		for ; calls < 20 && s.mon.State(srv.Addr()) == health.Healthy; calls++ {
			resp, err := s.send(t.Context(), testCall(true), 1)
			if err != nil {
				t.Fatal(err)
			}
			resp.ContentLength = -1 // an answer that states its excessive length is not read at all
			if _, err := bounded.ReadAll(resp, 64<<10); err == nil {
				t.Error("a body without end was read")
			}
			resp.Body.Close()
		}
		if s.mon.State(srv.Addr()) == health.Healthy {
			t.Errorf("%s: healthy after %d calls", kind, calls)
		}
	}
}

// Guards against a caller's short deadline that counts against a replica whose body makes progress,
// and a body that has stopped that doesn't. On 8472d66 the last case fails: nothing is reported after the head.
func TestSlowBodyCountsOnlyIfItHasStopped(t *testing.T) {
	for _, c := range []struct {
		gap, limit time.Duration
		want       health.State
	}{
		{5 * time.Millisecond, 50 * time.Millisecond, health.Healthy},
		{5 * time.Millisecond, 700 * time.Millisecond, health.Healthy},
		{time.Minute, 50 * time.Millisecond, health.Healthy},
		{time.Minute, 700 * time.Millisecond, health.Suspect},
	} {
		srv, err := endless.NewServer(func(*http.Request) endless.Answer {
			return endless.Answer{Kind: endless.Unframed, Gap: c.gap}
		})
		if err != nil {
			t.Fatal(err)
		}
		defer srv.Close()
		s := newTestServices(t, srv.Addr())
		for range 6 {
			ctx, stop := context.WithTimeout(t.Context(), c.limit)
			defer stop()
			resp, err := s.send(ctx, testCall(true), 1)
			if err != nil {
				break // it is not healthy any more
			}
			if _, err := bounded.ReadAll(resp, 64<<10); err == nil {
				t.Error("a body without end was read")
			}
			resp.Body.Close()
		}
		if got := s.mon.State(srv.Addr()); got != c.want {
			t.Errorf("a byte each %v with a deadline of %v: %v, want %v", c.gap, c.limit, got, c.want)
		}
	}
}
