package generation

import (
	"errors"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// fates records which attempts of a run may have run the request.
//
// An attempt is recorded before its first byte can leave, to a backend server or to another router, and is removed only
// by a proof that it did not run. So each way in which a run ends finds the attempts whose fate is unknown. If attempts
// were recorded when their results are handled, each exit before that would report a request as not run that may have
// run.
type fates struct {
	attempts map[*attempt]struct{} // attempts that may have run
	earlier  bool                  // the request may have run before this run of it
}

// sending records that a is about to be sent.
func (f *fates) sending(a *attempt) {
	if f.attempts == nil {
		f.attempts = map[*attempt]struct{}{}
	}
	f.attempts[a] = struct{}{}
}

// settle removes a if the error with which it ended proves that it did not run, and reports whether it does.
func (f *fates) settle(a *attempt, err error) (notRun bool) {
	if proofOfNotRun(a, err) == proofNone {
		return false
	}
	delete(f.attempts, a)
	return true
}

// mayHaveRun reports whether the request may have run, or may be running.
func (f *fates) mayHaveRun() bool { return f.earlier || len(f.attempts) > 0 }

// count returns the number of attempts of this run that may have run.
func (f *fates) count() int { return len(f.attempts) }

// Proofs that an attempt did not run, used as labels.
const (
	proofNone        = ""
	proofNotSent     = "not-sent"     // no byte of it left this process
	proofRefused     = "refused"      // the backend server refused it
	proofOtherRouter = "other-router" // the routers that were asked to run it state that they did not
)

// proofOfNotRun returns the proof, in the error with which an attempt ended, that the attempt did not run. An error that
// this package doesn't know proves nothing.
func proofOfNotRun(a *attempt, err error) string {
	if a.forwarded {
		end, ended := errors.AsType[*RemoteEnd](err)
		_, noRouter := errors.AsType[*Unavailable](err)
		if ended && end.Outcome == fleet.NotRun || !ended && noRouter {
			return proofOtherRouter
		}
		return proofNone
	}
	if refused, ok := errors.AsType[*backend.Refused](err); ok {
		if refused.Code == codeAttemptExists {
			return proofNone // another router runs the request
		}
		return proofRefused
	}
	if errors.Is(err, backend.ErrNotSent) && !errors.Is(err, backend.ErrBroken) {
		return proofNotSent
	}
	return proofNone
}
