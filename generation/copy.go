package generation

import (
	"context"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
)

const (
	// copyCheck is how often a run looks whether its copy is still kept.
	copyCheck = 300 * time.Millisecond
	// copyTimeout bounds the making of a copy, which queues behind other copies.
	copyTimeout = 1500 * time.Millisecond
	// copyRefresh is when a copy that was made on demand is brought up to date.
	// Backend servers drop one that is left alone for longer.
	copyRefresh = 2500 * time.Millisecond
)

// Copier copies the state of a run from one backend server to another.
type Copier interface {
	// Copy copies the run of the request at from, and returns the name of the
	// copy. Called again it copies only what is new.
	Copy(ctx context.Context, from fleet.Backend, request string, to fleet.Backend) (name string, err error)
	// Drop frees a copy of a run that ended, at both ends.
	Drop(ctx context.Context, from fleet.Backend, name string) error
}

// standbyCopy is where a copy of a run is kept.
type standbyCopy struct {
	at    fleet.Backend // without an address there is none
	name  string        // of a copy made on demand; empty while the backend server keeps it up to date
	made  time.Time
	share LoadShare // of the copy in the load at at
}

func (c *standbyCopy) release() {
	if c.share != nil {
		c.share.End()
		c.share = nil
	}
}

// tendCopy sees to it that the attempt has a copy, without waiting for it.
//
// What goes wrong without it: the failure domain of the copy crashes, the run
// goes on without one, and some seconds later its own domain crashes too. It
// shows as answers that pause for a second or more, and pay for their prompt
// twice, in every second crash.
func (x *run) tendCopy(a *attempt, now time.Time) {
	if x.Copier == nil || x.req.Opaque == nil || !x.req.Opaque.Copies.OnDemand || x.followed.Suspected() || now.Sub(a.copyChecked) < copyCheck {
		return
	}
	a.copyChecked = now
	a.takeCopy()
	if a.copying || x.copyHolds(a, now) {
		return
	}
	to := a.copy
	if to.at.Addr == "" || to.name == "" || !x.Picker.KeepsCopy(to.at.ID) {
		at, share, ok := x.Picker.Standby(x.ask(), a.backend)
		if !ok {
			return
		}
		to = standbyCopy{at: at, share: share}
	}
	a.copying = true
	go x.makeCopy(a.ctx, a, to)
}

// dropCopy frees the copy of a run that came to its end. Without it the copy
// takes memory for some seconds more, for nobody.
func (x *run) dropCopy(a *attempt) {
	a.takeCopy()
	if a.copy.name == "" {
		return
	}
	from, name := a.backend, a.copy.name
	x.voids.Go(func() {
		ctx, stop := context.WithTimeout(context.WithoutCancel(x.ctx), copyTimeout)
		defer stop()
		if err := x.Copier.Drop(ctx, from, name); err != nil {
			x.opts.Log.Emit(event.CopyDropFailed, "request", x.req.ID, "backend", from.ID, "copy", name, "err", err)
		}
	})
}

// copyHolds tells whether the copy will do for now.
func (x *run) copyHolds(a *attempt, now time.Time) bool {
	if a.copy.at.Addr == "" || !x.Picker.KeepsCopy(a.copy.at.ID) {
		return false
	}
	return a.copy.name == "" || now.Sub(a.copy.made) < copyRefresh
}

// makeCopy runs beside the stream; its outcome is taken in by takeCopy.
func (x *run) makeCopy(ctx context.Context, a *attempt, to standbyCopy) {
	ctx, stop := context.WithTimeout(ctx, copyTimeout)
	defer stop()
	made := time.Now()
	name, err := x.Copier.Copy(ctx, a.backend, x.req.ID, to.at)
	x.opts.Log.Emit(event.CopyMade, "request", x.req.ID, "attempt", a.place.Attempt,
		"backend", a.backend.ID, "standby", to.at.ID, "copy", name, "took_ms", time.Since(made).Milliseconds(), "err", err)
	if err != nil {
		to.release()
		to = standbyCopy{}
	}
	to.name, to.made = name, made
	a.copied <- to
}

// copyOfLost is the copy of an attempt that was lost.
type copyOfLost struct {
	at     string        // id of the backend server that keeps it; empty for none
	name   string        // as in standbyCopy
	source fleet.Backend // that the attempt ran at
}

// takeCopyAtLoss takes in a copy that was completed just before the loss.
func (a *attempt) takeCopyAtLoss() {
	select {
	case c := <-a.copied:
		c.release()
		if c.at.Addr != "" {
			a.copy = c
		}
	default:
	}
}

// takeCopy makes the latest copy the one to go on from.
func (a *attempt) takeCopy() {
	select {
	case c := <-a.copied:
		a.copying = false
		if a.copy.at.ID != c.at.ID {
			a.copy.release()
		}
		a.copy = c
		a.watch.SetCopied(c.at.Addr != "")
	default:
	}
}
