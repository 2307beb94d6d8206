package hosted

import (
	"context"
	"time"

	"github.com/oklog/run"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/listen"
	"wigeondale/signals"
	"wigeondale/stopping"
)

func (n *node) run(sigs signals.Received) error {
	var g run.Group
	for _, part := range []func(context.Context) error{n.mirror.Run, n.mon.Run, n.peers.run, n.adopter.run, n.holds.run, n.cases.run, n.syncHolds, n.cutOff.reach.Run, n.software.run, n.software.records.run, n.settings.Run} {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
	for _, l := range []*listen.Server{n.front, n.ready, n.stats} {
		g.Add(listen.Actor(l))
	}
	stop := make(chan struct{})
	g.Add(func() error { return n.untilSignal(sigs, stop) }, func(error) { close(stop) })
	n.log.Emit(event.Started, "front", n.front.Addr(), "ready", n.ready.Addr(), "store", n.set.Hosted.StoreAddress)
	return g.Run()
}

// untilSignal waits for a signal that ends the process, and then lets the open requests
// finish. It returns when all open requests have ended, but at the latest after the time that
// grace returns.
func (n *node) untilSignal(sigs signals.Received, stop <-chan struct{}) error {
	if signals.Wait(sigs, stop, n.settings.Read) {
		n.settings.ReadWithin(settingsReadTime) // the file may have changed without a signal
		n.shutdown()
	}
	return nil
}

// shutdown makes the node accept no new connections, and lets the open requests, those of other routers too,
// finish for as long as the platform lets the process run. Requests that could not end in that time don't begin, and those that have
// not ended shortly before get their final answer. If it isn't known how long that is, no request begins, and those that are open go on.
func (n *node) shutdown() {
	now, notice := clock.SinceBoot(), millis(n.set.Shutdown.BalancerNoticeMS)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if grace, known := n.settings.InForce().Hosted.Grace(); known {
		exit, answers := exitTimes(grace)
		n.stop.Begin(now+notice, now+answers)
		ctx, cancel = context.WithTimeout(ctx, exit)
		defer cancel()
		n.log.Emit(event.ShutdownBegun, "grace_ms", exit.Milliseconds())
	} else {
		n.stop.BeginWithoutEnd(now + notice)
		n.log.Emit(event.ShutdownBegun, "grace_ms", "not known")
	}
	n.leaving.Store(true)
	if mesh := n.peers.currentMesh(); mesh != nil {
		mesh.SetLeaving()
	}
	if err := n.front.Shutdown(ctx, notice); err != nil {
		n.log.Emit(event.ShutdownCut, "err", err)
	}
	n.forwarder.Drain(ctx)
}

// otherRouters returns the other routers of the fleet, for the times at which refused callers come back.
func (n *node) otherRouters() []stopping.Router {
	mesh := n.peers.currentMesh()
	if mesh == nil {
		return nil
	}
	others := mesh.Others()
	out := make([]stopping.Router, 0, len(others))
	for _, m := range others {
		r := stopping.Router{Near: m.FailureDomain == n.set.Node.FailureDomain}
		if m.Leaving {
			r.Unused = clock.SinceBoot() - time.Since(m.LeavingSince) + millis(n.set.Shutdown.BalancerNoticeMS)
		}
		out = append(out, r)
	}
	return out
}

// answerTime is the time for the final answers of requests that have not ended when the node stops.
const answerTime = 250 * time.Millisecond

// exitTimes returns how long after the signal the process exits, killMargin before the platform ends it by force, and when the requests
// that are open then get their final answers. Of a grace that is too short for both, each gets a half.
func exitTimes(grace time.Duration) (exit, answers time.Duration) {
	exit = max(grace-killMargin, grace/2)
	return exit, max(exit-answerTime, exit/2)
}
