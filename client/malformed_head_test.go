package client

import (
	"errors"
	"testing"

	"wigeondale/fakes/raw"
	"wigeondale/fleet"
)

// Guards against a malformed answer of a router, or of what stands before it, that counts as an answer or as proof that the request
// didn't run.
func TestMalformedAnswerOfRouterIsNoAnswer(t *testing.T) {
	for outcome, status := range map[fleet.Outcome]int{fleet.Complete: 200, fleet.NotRun: 503} {
		for name, answer := range raw.MalformedAnswers(status, "Wigeon-Outcome: "+string(outcome)+"\r\n", "ok") {
			s := &raw.Server{Answers: []string{answer}}
			addr, err := s.Start()
			if err != nil {
				t.Fatal(err)
			}
			opts := fastRetry()
			opts.MaxTries = 1
			res, err := New([]string{"http://" + addr}, "k", opts).Call(t.Context(), CallRequest{Service: "s", Path: "p", NonIdempotent: true})
			if res.Outcome == fleet.Complete || res.Outcome == fleet.NotRun || errors.Is(err, ErrNoEndpoint) {
				t.Errorf("%s, status %d: got outcome %q, %q, %v", name, status, res.Outcome, res.Body, err)
			}
			s.Close()
		}
	}
}
