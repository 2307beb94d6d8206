package generation

import (
	"context"
	"maps"
	"regexp"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"wigeondale/backend"
	"wigeondale/event"
	"wigeondale/fleet"
)

// Guards against a failure answer that is followed by a second answer, because the silent attempt delivers while the
// client still reads.
func TestFailedAnswerIsNotFollowedByTheSilentAttempt(t *testing.T) {
	failed := &backend.FailedAnswer{Head: backend.Head{Status: 500}, Body: []byte("failed")}
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9}, readDelay: time.Second,
		servers: []silentServer{{silentAt: 1, silence: 1500 * time.Millisecond}, {refusal: failed}},
	}
	res, out := w.play(t, func(r *Request) { r.Opaque.MaxAttempts = 2 })
	if res.Code == codeInternalFlow || res.Outcome != fleet.Complete {
		t.Errorf("got %s (%s, %v), %q", res.Outcome, res.Code, res.Err, out.text)
	}
}

// Guards against a request that is passed on again and again, beyond its attempts, while its own server is silent.
func TestSilenceSendsNoRequestToOtherRoutersWithoutEnd(t *testing.T) {
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{{silentAt: 5, silence: 10 * time.Second}}}
	f := &failingRouter{w: w}
	w.wire = func(d *Deps) { d.Forwarder = f }
	if res, _ := w.play(t, nil); f.passedOn > 2 || res.Outcome != fleet.Complete {
		t.Errorf("got %s (%s), passed on %d times", res.Outcome, res.Code, f.passedOn)
	}
}

// failingRouter is a Forwarder of a router that is cut off after its first attempt, and whose peers fail.
type failingRouter struct {
	w        *silentFleet
	passedOn int
}

func (f *failingRouter) CutOff(string) bool                       { return len(f.w.opened) > 0 }
func (f *failingRouter) CheckCutOff(context.Context, string) bool { return f.CutOff("") }
func (f *failingRouter) Forward(context.Context, Handover) (ForwardedStream, error) {
	f.passedOn++
	return nil, &RemoteEnd{Outcome: fleet.Failed, Code: CodeEngineLost}
}

// Guards against a stream that is never watched again, because its only report of a silence came while its software
// version was not known yet.
func TestSilenceBeforeTheVersionIsKnownHidesNoLaterOne(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 40, budget: 9, versions: &versions{unanswered: map[string]int{"b1": 3}}},
		servers:   []silentServer{{silentAt: 3, silence: 600 * time.Millisecond, again: 30}},
	}
	w.expectComplete(t)
	if len(w.opened) != 2 {
		t.Errorf("%d attempts", len(w.opened))
	}
}

// Guards against an answer that goes on after a silence and whose standby copy is never renewed.
func TestStandbyCopyIsRenewedAfterASilence(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 300}, pickErr: errNoneLeft,
		servers: []silentServer{{silentAt: 5, silence: 600 * time.Millisecond}},
	}
	w.wire = func(d *Deps) { d.Copier = w }
	res, _ := w.play(t, func(r *Request) { r.Opaque.Copies = Copying{OnDemand: true} })
	if res.Outcome != fleet.Complete || w.copies < 2 {
		t.Errorf("got %s, %d copies in an answer of 6 s", res.Outcome, w.copies)
	}
}

// Guards against a loss that is counted against a sound server: its stream is closed while it is read, and the reader
// takes the error for a failure of the server, because the context of the attempt has not ended yet.
func TestReplacedAttemptIsCancelledBeforeItsStreamIsClosed(t *testing.T) {
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{{silentAt: 5, silence: time.Minute}}}
	w.expectComplete(t)
	if w.streams[0].closedEarly.Load() {
		t.Error("the stream was closed before its context ended")
	}
}

// Guards against a 502, or a server that counts as failed, in place of the answer of the silent server itself: its
// failure, or its statement that the request has not run.
func TestAnswerOfTheSilentServerIsPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		outcome fleet.Outcome
		status  int
		failure bool // reported to the failure detector
	}{
		"failed":   {&backend.FailedAnswer{Head: backend.Head{Status: 500}, Body: []byte("failed")}, fleet.Complete, 500, false},
		"refused":  {&backend.Refused{Status: 503, Code: "overloaded"}, fleet.NotRun, 0, true},
		"not sent": {backend.ErrNotSent, fleet.NotRun, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := &silentFleet{
				fakeFleet: fakeFleet{chunks: 9, budget: 9}, pickErr: errNoneLeft,
				servers: []silentServer{{silentAt: 1, silence: 2 * time.Second, crash: c.err}},
			}
			res, out := w.play(t, nil)
			if res.Outcome != c.outcome || out.status != c.status || w.failureReported.Load() != c.failure {
				t.Errorf("got %s (%s), status %d, failure reported: %v", res.Outcome, res.Code, out.status, w.failureReported.Load())
			}
		})
	}
}

// Guards against a search for another server because of a silence that ended with the next chunk, or that was this
// router's own, while the client read slowly.
func TestReportThatAChunkHasOvertakenStartsNoSearch(t *testing.T) {
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, readDelay: 400 * time.Millisecond, buffered: 4}
	if res, _ := w.play(t, nil); res.Outcome != fleet.Complete || len(w.opened) != 1 {
		t.Errorf("got %s in %d attempts", res.Outcome, len(w.opened))
	}
}

// Guards against a second attempt at the server whose silent attempt is still read, if it is the only one.
func TestSilentServerGetsNoSecondAttempt(t *testing.T) {
	for _, silentAt := range []int{1, 5} {
		w := &silentFleet{
			fakeFleet: fakeFleet{chunks: 9, budget: 9},
			servers:   []silentServer{{silentAt: silentAt, silence: 3 * time.Second}, {silentAt: 1, silence: 2 * time.Second}},
		}
		w.wire = func(d *Deps) { d.Picker = onlyServer{w} }
		if res, _ := w.play(t, nil); res.Outcome != fleet.Complete || len(w.opened) != 1 {
			t.Errorf("silent at %d: got %s, attempts at %v", silentAt, res.Outcome, w.backends)
		}
	}
}

// onlyServer is a Picker of a service with a single backend server.
type onlyServer struct{ *silentFleet }

func (onlyServer) Pick(_ context.Context, a PickRequest) (fleet.Backend, LoadShare, error) {
	if a.Exclude["b1"] {
		return fleet.Backend{}, nil, &Unavailable{Err: errNoneLeft}
	}
	return fleet.Backend{ID: "b1", Addr: "b1"}, &fakeShare{}, nil
}

// Guards against a silence that puts the retry budget into debt, although the silent attempt may still deliver.
func TestSilenceOverdrawsNoBudget(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, overdraft: 1},
		servers:   []silentServer{{silentAt: 5, silence: 2 * time.Second, crash: errBroken}},
	}
	res, out := w.play(t, nil)
	if res.Outcome != fleet.Complete || out.text != chunkText(9) || res.LongestPause < 2*time.Second {
		t.Errorf("got %s, %q after a pause of %v", res.Outcome, out.text, res.LongestPause)
	}
}

// Guards against a 502 for a request whose server was silent and reads the query for its run before the request.
func TestOneReportWithoutTheRunFailsNoRequest(t *testing.T) {
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9}, servers: []silentServer{{silentAt: 1, silence: 1900 * time.Millisecond}}}
	reports := 0
	w.running = func() bool { reports++; return reports > 1 }
	w.wire = func(d *Deps) { d.RunQuerier = w }
	w.expectComplete(t)
}

// Guards against a log line by which a silent attempt that was replaced did not run, since another server refused the
// request meanwhile.
func TestReplacedAttemptIsNotLoggedAsNotRun(t *testing.T) {
	var log strings.Builder
	event.LogTo(&log, 0)
	t.Cleanup(klog.ClearLogger)
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9}, log: event.New("n"),
		servers: []silentServer{{silentAt: 3, silence: 10 * time.Second}, {refusal: &backend.Refused{Code: "overloaded"}}, {}},
	}
	w.expectComplete(t)
	lines := regexp.MustCompile(`attempt-lost.* attempt=(\d).* not_run="(.*?)"`).FindAllStringSubmatch(log.String(), -1)
	got := map[string]string{}
	for _, l := range lines {
		got[l[1]] = l[2]
	}
	if want := map[string]string{"1": "", "2": proofRefused}; !maps.Equal(got, want) {
		t.Errorf("proofs by attempt: %q, want %q", got, want)
	}
}
