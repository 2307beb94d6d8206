package generation

import (
	"errors"

	"wigeondale/backend"
	"wigeondale/fleet"
)

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
