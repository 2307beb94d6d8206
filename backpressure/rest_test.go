package backpressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"wigeondale/backend"
)

const (
	restGrace = 500 * time.Millisecond // from a refusal until its rest binds
	restSeeds = 100
)

// restingServer is a backend server that refuses requests at random and asks for rest, and one router.
type restingServer struct {
	rng      *rand.Rand
	track    *Tracker
	arrivals []time.Time
	rests    [][2]time.Time // when each refusal was made, and the end of its rest
}

func (s *restingServer) latency() time.Duration {
	return time.Duration(s.rng.Int64N(int64(150 * time.Millisecond)))
}

// answer returns what the answer to a request that arrives now states.
func (s *restingServer) answer(now time.Time) backend.Statement {
	s.arrivals = append(s.arrivals, now)
	if s.rng.IntN(3) > 0 {
		return backend.Statement{}
	}
	rest := time.Duration(s.rng.Int64N(int64(4 * time.Second)))
	s.rests = append(s.rests, [2]time.Time{now, now.Add(rest)})
	return backend.Statement{Rest: rest}
}

// Guards against more than two requests within a rest: by requests under way at the refusal, by answers that
// overtake each other, by a shorter rest after a longer one, and by all that waited for its end.
func TestRestIsKept(t *testing.T) {
	for seed := range uint64(restSeeds) {
		s := &restingServer{rng: rand.New(rand.NewPCG(seed, 2)), track: alone()}
		var due []struct {
			at time.Time
			do func(now time.Time)
		}
		later := func(at time.Time, do func(now time.Time)) {
			due = append(due, struct {
				at time.Time
				do func(now time.Time)
			}{at, do})
		}
		start := time.Unix(1000, 0)
		for now := start; now.Sub(start) < 20*time.Second; now = now.Add(5 * time.Millisecond) {
			for i := 0; i < len(due); i++ {
				if due[i].at.After(now) {
					continue
				}
				due[i].do(now)
				due = append(due[:i], due[i+1:]...)
				i--
			}
			if s.track.Permit(server, backend.Work, now) != nil {
				continue
			}
			sentAt := now
			later(now.Add(s.latency()), func(now time.Time) {
				says := s.answer(now)
				later(now.Add(s.latency()), func(now time.Time) { s.track.Observe(server, sentAt, now, says) })
			})
		}
		for _, r := range s.rests {
			n := 0
			for _, a := range s.arrivals {
				if a.After(r[0].Add(restGrace)) && a.Before(r[1]) {
					n++
				}
			}
			if n > 2 {
				t.Fatalf("seed %d: %d requests arrive during a rest of %v", seed, n, r[1].Sub(r[0]))
			}
		}
		if len(s.arrivals) < 20 {
			t.Fatalf("seed %d: only %d requests in 20 s", seed, len(s.arrivals))
		}
	}
}

// Guards against all requests that waited for the end of a rest being sent at once.
func TestOneRequestIsSentAfterARest(t *testing.T) {
	tr, now := alone(), time.Unix(1000, 0)
	tr.Observe(server, now, now, backend.Statement{Rest: 3 * time.Second})
	tr.Observe(server, now, now.Add(time.Second), backend.Statement{}) // an answer that was under way
	tr.Observe(server, now, now.Add(time.Second), backend.Statement{Rest: time.Second})
	permitted := func(at time.Duration) int {
		n := 0
		for range 10 {
			if tr.Permit(server, backend.Work, now.Add(at)) == nil {
				n++
			}
		}
		return n
	}
	if n := permitted(2900 * time.Millisecond); n != 0 {
		t.Errorf("%d requests are sent during the rest", n)
	}
	if n := permitted(3100 * time.Millisecond); n != 1 {
		t.Errorf("%d requests are sent after the rest, without an answer", n)
	}
	tr.Observe(server, now.Add(3100*time.Millisecond), now.Add(3200*time.Millisecond), backend.Statement{})
	if n := permitted(3300 * time.Millisecond); n != 10 {
		t.Errorf("%d of 10 requests are sent after an answer", n)
	}
}
