package quarantine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"wigeondale/event"
)

const (
	// replySpread is the longest delay of a reply to the report of a crash. A router whose reply would
	// contain no new information doesn't reply.
	replySpread = 150 * time.Millisecond
	// replyDecades is the exponent of the distribution of the delays: among up to e^replyDecades routers, few
	// reply before the first reply reaches the others.
	replyDecades = 8
	// maxLoggedParts bounds how many parts a line of the log names.
	maxLoggedParts = 8
)

// replyDelay returns the time after which a router replies, for u uniform in (0, 1]. The delays are
// distributed exponentially towards replySpread, so that few routers reply early.
func replyDelay(u float64) time.Duration {
	return time.Duration(max(0, 1+math.Log(u)/replyDecades) * float64(replySpread))
}

// partsCrashed records that a backend server crashed while it ran a request, against the parts of its prompt. It
// returns those against which the crash counts.
func (g *Guard) partsCrashed(c PartCrash) (added []Digest) {
	if len(c.Parts) == 0 {
		return nil
	}
	var out partsRecorded
	var running int
	g.withTracker(func(t *Tracker, now time.Duration) {
		out = t.partsCrashed(c, now)
		running = t.parts.requests[c.Incarnation]
	})
	if len(out.added) > 0 {
		g.cfg.Log.Emit(event.PartCrashCounted, "parts", digestList(out.added), "digest", c.Request.String(), "account", c.Account, "model", c.Model,
			"backend", c.Incarnation, "from", c.From, "requests", running, "pending", len(out.pending))
	}
	for d, wait := range out.pending {
		time.AfterFunc(wait, func() { g.confirmPart(d, c.From == "") })
	}
	return out.added
}

// settleParts broadcasts that no more trials of parts are to be sent.
func (g *Guard) settleParts(parts []Digest) {
	for _, d := range parts {
		if h, quarantined := g.PartHoldOf(d); quarantined {
			g.broadcast(Update{PartHolds: []PartHold{h}})
			g.cfg.OnPartSettled(h)
		}
	}
}

// replyUntold replies to the report of a crash if requests with the parts were answered here.
func (g *Guard) replyUntold(parts []Digest, model string) {
	var answered []Digest
	g.withTracker(func(t *Tracker, _ time.Duration) { answered = t.parts.untold(parts, model) })
	if len(answered) > 0 {
		time.AfterFunc(replyDelay(1-rand.Float64()), func() { g.replyAnswered(answered, model) })
	}
}

// replyAnswered broadcasts when requests with the parts were last answered here, unless another router
// has done so meanwhile.
func (g *Guard) replyAnswered(parts []Digest, model string) {
	var reply []PartAnswerUpdate
	g.withTracker(func(t *Tracker, now time.Duration) {
		for _, d := range t.parts.untold(parts, model) {
			at, _ := t.parts.answers.at(d, model)
			reply = append(reply, PartAnswerUpdate{d, model, (now - at).Milliseconds()})
			t.parts.told(d, model, now)
		}
	})
	if len(reply) > 0 {
		g.broadcast(Update{PartAnswers: reply})
	}
}

// confirmPart decides on a part under which enough backend servers crashed; foundHere reports whether
// this router saw the last of the crashes.
func (g *Guard) confirmPart(d Digest, foundHere bool) {
	var out partDecision
	var holds []PartHold
	var report PartReport
	isolated := g.cfg.Isolated()
	g.withTracker(func(t *Tracker, now time.Duration) {
		out = t.confirmPart(d, now, isolated)
		for _, held := range out.held {
			h, _ := t.parts.holdOf(held, now)
			holds = append(holds, h)
		}
		if len(holds) > 0 {
			report = t.parts.suspects[out.held[0]].report(now)
		}
	})
	g.wakeWaiting()
	if len(out.ask) > 0 {
		g.broadcast(Update{PartsAsked: out.ask})
	}
	if out.again > 0 {
		time.AfterFunc(out.again, func() { g.confirmPart(d, foundHere) })
	}
	if len(holds) > 0 {
		g.cfg.Log.Emit(event.PartHeld, "parts", digestList(out.held), "accounts", strings.Join(report.Accounts, ","),
			"models", strings.Join(report.Models, ","), "trials", report.Trial, "crashes", report.String())
		g.announceParts(holds, foundHere)
	}
	for _, lost := range out.lost {
		g.cfg.Log.Emit(event.PartTrialLost, "part", d.String(), "digest", lost.Request.String(), "backend", lost.Incarnation, "other_cause", lost.otherCause,
			"go_on", len(out.settled) == 0)
	}
	if foundHere {
		g.settleParts(out.settled)
	}
	for _, cleared := range out.clearedParts {
		g.cfg.Log.Emit(event.PartCleared, "part", cleared.String(), "was_held", true, "beside", cmp.Or(digestList(out.held), d.String()))
		g.cfg.OnPartLift(cleared)
	}
	for _, d := range out.clearedRequests {
		g.cfg.Log.Emit(event.RequestCleared, "digest", d.String(), "was_held", true, "beside", digestList(out.held))
		g.cfg.OnLift(d)
	}
}

// announceParts calls OnPartHold for newly quarantined parts, and broadcasts their holds if foundHere is true.
func (g *Guard) announceParts(holds []PartHold, foundHere bool) {
	if foundHere {
		g.broadcast(Update{PartHolds: holds})
	}
	for _, h := range holds {
		g.cfg.OnPartHold(h, foundHere)
	}
}

// partsAnswered records that a request was answered, and that its answer began at began. If that clears a suspected part,
// it is broadcast.
func (g *Guard) partsAnswered(s *Submission, began time.Duration) {
	if len(s.parts) == 0 {
		return
	}
	var cleared []PartAnswerUpdate
	var lifted, pending, pendingParts []Digest
	g.withTracker(func(t *Tracker, now time.Duration) {
		for _, d := range s.parts {
			out := t.partAnswered(d, s.model, began, now)
			if out.suspected {
				cleared = append(cleared, PartAnswerUpdate{d, s.model, (now - began).Milliseconds()})
				t.parts.told(d, s.model, now)
			}
			if out.lifted {
				lifted = append(lifted, d)
			}
			pending = append(pending, out.pending...)
			pendingParts = append(pendingParts, out.pendingParts...)
		}
	})
	g.confirmLater(pending, pendingParts, true)
	for _, u := range cleared {
		g.cfg.Log.Emit(event.PartCleared, "part", u.Digest.String(), "model", s.model, "began_ms", u.AgeMS, "digest", s.digest.String())
		g.cfg.OnCase(Suspect{u.Digest, true}, true)
	}
	for _, d := range lifted {
		g.cfg.OnPartLift(d)
	}
	if len(cleared) > 0 {
		g.broadcast(Update{PartAnswers: cleared})
	}
}

// handlePartUpdate applies what another router reports about parts, other than crashes.
func (g *Guard) handlePartUpdate(from string, n Update) {
	for _, h := range n.PartHolds {
		g.HoldPart(h, from)
	}
	var pending, pendingParts []Digest
	g.withTracker(func(t *Tracker, now time.Duration) {
		for _, a := range n.PartAnswers {
			out := t.partAnswered(a.Digest, a.Model, now-time.Duration(a.AgeMS)*time.Millisecond, now)
			t.parts.told(a.Digest, a.Model, now)
			pending = append(pending, out.pending...)
			pendingParts = append(pendingParts, out.pendingParts...)
		}
	})
	g.confirmLater(pending, pendingParts, false)
	g.handleAsked(n.PartsAsked)
	for _, d := range n.PartsLifted {
		g.liftPartLocally(d, from)
	}
}

// confirmLater decides on requests and parts after decisionDelay, and after askValid if another router observed what the
// decision is due to.
func (g *Guard) confirmLater(requests, parts []Digest, foundHere bool) {
	wait := decisionDelay
	if !foundHere {
		wait = askValid
	}
	for _, d := range requests {
		time.AfterFunc(wait, func() { g.confirm(d, foundHere) })
	}
	for _, d := range parts {
		time.AfterFunc(wait, func() { g.confirmPart(d, foundHere) })
	}
}

// handleAsked replies to a router that is about to quarantine parts, if requests with them were answered here. The
// reply of another router may make this one unnecessary.
func (g *Guard) handleAsked(parts []Digest) {
	var known []PartAnswerUpdate
	g.withTracker(func(t *Tracker, now time.Duration) {
		for _, d := range parts[:min(len(parts), maxParts)] {
			known = append(known, t.parts.partAsked(d, now)...)
		}
	})
	if len(known) > 0 {
		time.AfterFunc(replyDelay(1-rand.Float64()), func() { g.replyAsked(known) })
	}
}

func (g *Guard) replyAsked(known []PartAnswerUpdate) {
	var reply []PartAnswerUpdate
	g.withTracker(func(t *Tracker, now time.Duration) { reply = t.parts.untoldSinceAsked(known, now) })
	if len(reply) > 0 {
		g.broadcast(Update{PartAnswers: reply})
	}
}

// HoldPart quarantines a part that another router, or an earlier incarnation of this one, has quarantined.
func (g *Guard) HoldPart(h PartHold, from string) {
	var added bool
	g.withTracker(func(t *Tracker, now time.Duration) { added = t.holdPart(h, now) })
	if added {
		g.cfg.Log.Emit(event.PartHeld, "parts", h.Digest.String(), "accounts", strings.Join(h.Accounts, ","), "models", strings.Join(h.Models, ","),
			"trials", h.Provisional || len(h.Tied) > 0, "from", from, "left_ms", h.RemainingMS)
		g.announceParts([]PartHold{h}, false)
	}
}

// LiftPart ends the hold of a part at all routers.
func (g *Guard) LiftPart(d Digest, by string) (wasQuarantined bool) {
	wasQuarantined = g.liftPartLocally(d, by)
	g.cfg.OnPartLift(d)
	g.broadcast(Update{PartsLifted: []Digest{d}})
	return wasQuarantined
}

func (g *Guard) liftPartLocally(d Digest, by string) (wasQuarantined bool) {
	g.withTracker(func(t *Tracker, now time.Duration) { wasQuarantined = t.liftPart(d, now) })
	if wasQuarantined {
		g.cfg.Log.Emit(event.PartLifted, "part", d.String(), "by", by)
	}
	return wasQuarantined
}

// PartHolds lists the holds of all quarantined parts.
func (g *Guard) PartHolds() (out []PartHold) {
	g.withTracker(func(t *Tracker, now time.Duration) { out = t.parts.holds(now) })
	return out
}

// PartHoldOf returns the hold of a part, and false if it isn't quarantined.
func (g *Guard) PartHoldOf(d Digest) (h PartHold, quarantined bool) {
	g.withTracker(func(t *Tracker, now time.Duration) { h, quarantined = t.parts.holdOf(d, now) })
	return h, quarantined
}

// RebroadcastPartHold broadcasts the hold of a part once more, if it is still quarantined.
func (g *Guard) RebroadcastPartHold(d Digest) {
	if h, quarantined := g.PartHoldOf(d); quarantined {
		g.broadcast(Update{PartHolds: []PartHold{h}})
	}
}

// ListParts returns what is recorded of all suspected parts, for operators.
func (g *Guard) ListParts() (out []PartReport) {
	g.withTracker(func(t *Tracker, now time.Duration) { out = t.parts.list(now) })
	return out
}

// digestList formats digests for the log, the first maxLoggedParts of them.
func digestList(digests []Digest) string {
	var out []string
	for _, d := range digests[:min(len(digests), maxLoggedParts)] {
		out = append(out, d.String())
	}
	return strings.Join(out, ",")
}
