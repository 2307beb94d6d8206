package generation

import (
	"slices"
	"testing"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// costShare records the cost of an attempt in its fleet when it ends.
type costShare struct {
	fakeShare
	w      *fakeFleet
	chunks int
	ended  bool
}

func (w *fakeFleet) newShare() LoadShare {
	if w.costs == nil {
		return &fakeShare{}
	}
	return &costShare{w: w, chunks: -1}
}

func (s *costShare) SetCost(chunks int) { s.chunks = chunks }

func (s *costShare) End() {
	if !s.ended {
		s.ended = true
		*s.w.costs = append(*s.w.costs, s.chunks)
	}
}

// Guards against client accounts that are charged for what they did not use, or not charged for what they used: an answer
// is refused by one backend server, breaks off at the next and is continued elsewhere. The picker must learn the urgency
// and the account of the request.
func TestEachAttemptIsChargedForWhatItDelivered(t *testing.T) {
	w := &fakeFleet{chunks: 9, budget: 9, costs: &[]int{}, scripts: []script{
		{openErr: &backend.Refused{Code: "overloaded"}}, {lastChunk: 4, err: errBroken},
	}}
	res, _ := w.run(t, func(r *Request) { r.Account, r.Opaque.Urgency = "acc", 7 })
	if want := []int{-1, 4, 5}; res.Outcome != fleet.Complete || !slices.Equal(*w.costs, want) {
		t.Errorf("%s, attempts were charged for %v chunks, want %v", res.Outcome, *w.costs, want)
	}
	for _, a := range w.pickRequests {
		if a.Account != "acc" || a.Urgency != 7 {
			t.Errorf("chosen for account %q with urgency %d", a.Account, a.Urgency)
		}
	}
}
