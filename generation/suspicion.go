package generation

import (
	"errors"
	"time"

	"wigeondale/quarantine"
)

// clearSuspicion clears the request of the suspicion that it crashes backend servers, once one
// of its runs has lasted long enough past its first token.
func (x *run) clearSuspicion(a *attempt, now time.Time) {
	if !a.suspicionCleared && quarantine.PastEarlyWindow(now.Sub(a.firstAt)) {
		a.suspicionCleared = true
		x.tracked.Answered(now.Sub(a.firstAt))
	}
}

// endQuarantined ends a run that isn't sent because of a quarantine. The caller may come back only if the quarantine is
// undecided.
func (x *run) endQuarantined(err error) string {
	switch {
	case x.mayHold():
		return "hold"
	case errors.Is(err, quarantine.ErrPartUndecided):
		return x.giveUp(CodeAwaitsTurn, errPartUndecided)
	case errors.Is(err, quarantine.ErrPartQuarantined):
		return x.end("fail", CodePartQuarantined, err)
	}
	return x.end("fail", CodeQuarantined, err)
}

// turnPoll is how often a request checks whether the attempt of a repeat of it has ended, under which
// backend servers have crashed.
const turnPoll = 40 * time.Millisecond

// errAwaitsTurn is the error of a request that waits for the attempt of a repeat of it.
var errAwaitsTurn = &Unavailable{Code: CodeAwaitsTurn, RetryAfter: time.Second, Err: Error.New("backend servers crashed under the request, and another attempt of it is in progress")}

// errPartUndecided is the error of a request with a part that a trial is expected to decide on.
var errPartUndecided = &Unavailable{Code: CodeAwaitsTurn, RetryAfter: time.Second, Err: Error.Wrap(quarantine.ErrPartUndecided)}

func isQuarantineCode(code string) bool {
	return code == CodeQuarantined || code == CodePartQuarantined
}
