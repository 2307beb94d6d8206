package generation

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// unfinishedEngines are backend servers whose answers have not ended at the deadline.
type unfinishedEngines struct {
	*fakeFleet
	err error
}

func (e unfinishedEngines) Open(ctx context.Context, _ fleet.Backend, _ backend.StartRequest) (Stream, error) {
	<-ctx.Done()
	return nil, errors.Join(backend.ErrBroken, e.err, ctx.Err())
}

// Guards against a server whose answers begin and never end, and that gets ever new requests because
// each of them ends at its deadline; and against a server that counts as failed because of the deadline
// alone. On 8472d66 it fails: nothing is reported to the failure detector.
func TestUnfinishedAnswerAtTheDeadlineIsReported(t *testing.T) {
	for _, cause := range []error{nil, backend.ErrUnfinished} {
		bubble.Test(t, func(t *testing.T) {
			w := &fakeFleet{}
			r, err := New(Deps{Admitter: w, Picker: w, Watcher: fleetWatcher{w}, Engines: unfinishedEngines{w, cause}, Abandon: w, Budget: w}, Options{})
			if err != nil {
				t.Fatal(err)
			}
			res := r.Run(t.Context(), Request{ID: "q", NonIdempotent: true, Deadline: time.Now().Add(time.Second), Opaque: &Opaque{
				Opaque: &backend.Opaque{}, Service: "svc", FirstChunk: 1, MaxAttempts: 1, MaxWait: time.Second,
			}}, &callerAnswer{})
			if res.Outcome != fleet.Unknown || res.Code != CodeDeadline || len(w.results) > 0 != (cause != nil) {
				t.Errorf("got %s (%s), reported %v", res.Outcome, res.Code, w.results)
			}
		})
	}
}

// chattyEngines send tokens without end.
type chattyEngines struct{ *fakeFleet }

func (e chattyEngines) Open(context.Context, fleet.Backend, backend.StartRequest) (Stream, error) {
	return &chattyStream{}, nil
}

type chattyStream struct {
	chunkStream
	sent int
}

func (s *chattyStream) Next() (backend.Token, error) {
	s.sent++
	return backend.Token{Index: s.sent - 1, Text: []byte("x")}, nil
}

func (s *chattyStream) Buffered() bool { return false }
func (s *chattyStream) Close() error   { return nil }

// Guards against an engine that sends more tokens than were asked for, without end: the router keeps the
// text of all. On 8472d66 it fails: the caller gets tokens until the deadline.
func TestTokensWithoutEnd(t *testing.T) {
	w, out := &fakeFleet{}, &callerAnswer{}
	r, err := New(Deps{Admitter: w, Picker: w, Watcher: fleetWatcher{w}, Engines: chattyEngines{w}, Abandon: w, Budget: w}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	res := r.Run(t.Context(), Request{ID: "q", MaxTokens: 9, Deadline: time.Now().Add(time.Second)}, out)
	if res.Outcome != fleet.Complete || res.Tokens != 9 || !slices.ContainsFunc(w.results, func(err error) bool { return errors.Is(err, backend.ErrMismatch) }) {
		t.Errorf("got %s (%s), %d tokens, reported %v", res.Outcome, res.Code, res.Tokens, w.results)
	}
}
