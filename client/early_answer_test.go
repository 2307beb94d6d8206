package client

import (
	"testing"
	"time"

	"wigeondale/fakes/raw"
	"wigeondale/fleet"
)

// Guards against a part of an answer counting as complete when its connection is reset under the body of the call.
func TestAnswerResetUnderACallIsNotComplete(t *testing.T) {
	for i := range 20 {
		s := &raw.Early{
			Answer: "HTTP/1.1 200 OK\r\nWigeon-Outcome: complete\r\n\r\npart",
			Delay:  time.Duration(i%4) * 2 * time.Millisecond, End: raw.ResetConn,
		}
		addr, err := s.Start()
		if err != nil {
			t.Fatal(err)
		}
		opts := fastRetry()
		opts.MaxTries = 1
		res, err := New([]string{"http://" + addr}, "k", opts).Call(t.Context(), CallRequest{Service: "s", Path: "p", Body: make([]byte, 8<<20), NonIdempotent: true})
		if err == nil || res.Outcome == fleet.Complete || res.Outcome == fleet.NotRun {
			t.Errorf("got outcome %q, %v", res.Outcome, err)
		}
		s.Close()
	}
}
