package generation

import (
	"context"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
)

const (
	// copyCheckInterval is how often a run checks that its copy still exists.
	copyCheckInterval = 300 * time.Millisecond
	// copyTimeout bounds the time that the making of a copy may take. The copy may have to
	// wait for other copies.
	copyTimeout = 1500 * time.Millisecond
	// copyRefreshAge is the age at which a copy that was made on demand is brought up to date.
	// Backend servers drop copies that are not updated, and do so only at a higher age.
	copyRefreshAge = 2500 * time.Millisecond
)

// Copier copies the state of a run from one backend server to another.
type Copier interface {
	// Copy copies the run of the request at from, and returns the name of the copy. Later calls
	// for the same run copy only the state added since.
	Copy(ctx context.Context, from fleet.Backend, request string, to fleet.Backend) (name string, err error)
	// Drop frees the copy of a run that has ended, on the backend server of the run and on
	// that of the copy.
	Drop(ctx context.Context, from fleet.Backend, name string) error
}

// standbyCopy records where a copy of a run's state is kept.
type standbyCopy struct {
	backend   fleet.Backend // no copy if the address is empty
	name      string        // of a copy made on demand; empty if the backend server keeps the copy up to date itself
	madeAt    time.Time
	loadShare LoadShare // of the copy, in the load of the backend server that keeps it
}

func (c *standbyCopy) release() {
	if c.loadShare != nil {
		c.loadShare.End()
		c.loadShare = nil
	}
}

// maintainCopy checks the standby copy of the attempt every copyCheckInterval. If there is no
// copy, or the copy was lost or is due for a refresh, maintainCopy makes or refreshes the copy
// in the background.
//
// If a lost copy were not replaced, a run whose copy is lost with the failure domain of the
// copy would continue without any copy. If the failure domain of the run crashes some seconds
// later, the prompt would have to be read again. The symptom is that in every second crash
// answers pause for a second or more, with their prefill paid for twice.
func (x *run) maintainCopy(a *attempt, now time.Time) {
	if a.forwarded || x.Copier == nil || x.req.Opaque == nil || !x.req.Opaque.Copies.OnDemand || x.tracked.Suspected() || now.Sub(a.copyCheckedAt) < copyCheckInterval {
		return
	}
	a.copyCheckedAt = now
	a.collectCopy()
	if a.copyInProgress || x.copyIsCurrent(a, now) {
		return
	}
	to := a.copy
	if to.backend.Addr == "" || to.name == "" || !x.Picker.KeepsCopy(to.backend.ID) {
		at, share, ok := x.Picker.Standby(x.pickRequest(), a.backend)
		if !ok {
			return
		}
		to = standbyCopy{backend: at, loadShare: share}
	}
	a.copyInProgress = true
	go x.makeCopy(a.ctx, a, to)
}

// dropCopy frees the copy of a run that has ended. Otherwise the unused copy would occupy
// memory for some more seconds, until the backend servers drop it because of its age.
func (x *run) dropCopy(a *attempt) {
	a.collectCopy()
	if a.copy.name == "" {
		return
	}
	from, name := a.backend, a.copy.name
	x.background.Go(func() {
		ctx, stop := context.WithTimeout(context.WithoutCancel(x.ctx), copyTimeout)
		defer stop()
		if err := x.Copier.Drop(ctx, from, name); err != nil {
			x.opts.Log.Emit(event.CopyDropFailed, "request", x.req.ID, "backend", from.ID, "copy", name, "err", err)
		}
	})
}

// copyIsCurrent reports whether the copy still exists and needs no refresh yet. A copy that
// the backend server itself keeps up to date needs none.
func (x *run) copyIsCurrent(a *attempt, now time.Time) bool {
	if a.copy.backend.Addr == "" || !x.Picker.KeepsCopy(a.copy.backend.ID) {
		return false
	}
	return a.copy.name == "" || now.Sub(a.copy.madeAt) < copyRefreshAge
}

// makeCopy makes or refreshes a copy. It runs in a goroutine alongside the stream; collectCopy
// receives its result.
func (x *run) makeCopy(ctx context.Context, a *attempt, to standbyCopy) {
	ctx, stop := context.WithTimeout(ctx, copyTimeout)
	defer stop()
	startedAt := time.Now()
	name, err := x.Copier.Copy(ctx, a.backend, x.req.ID, to.backend)
	x.opts.Log.Emit(event.CopyMade, "request", x.req.ID, "attempt", a.origin.Attempt,
		"backend", a.backend.ID, "standby", to.backend.ID, "copy", name, "took_ms", time.Since(startedAt).Milliseconds(), "err", err)
	if err != nil {
		to.release()
		to = standbyCopy{}
	}
	to.name, to.madeAt = name, startedAt
	a.copyResult <- to
}

// lostAttemptCopy is the standby copy of an attempt that was lost.
type lostAttemptCopy struct {
	backendID string        // backend server that keeps the copy; empty if there is none
	name      string        // as in standbyCopy
	source    fleet.Backend // backend server on which the attempt ran
}

// collectCopyAtLoss records a copy that was completed just before the loss, so that the run
// can continue from it.
func (a *attempt) collectCopyAtLoss() {
	select {
	case c := <-a.copyResult:
		a.copyInProgress = false
		c.release()
		if c.backend.Addr != "" {
			a.copy = c
		}
	default:
	}
}

// collectCopy records the result of makeCopy, if there is one, so that after a loss the run
// continues from the latest copy.
func (a *attempt) collectCopy() {
	select {
	case c := <-a.copyResult:
		a.copyInProgress = false
		if a.copy.backend.ID != c.backend.ID {
			a.copy.release()
		}
		a.copy = c
		a.watch.SetCopied(c.backend.Addr != "")
	default:
	}
}
