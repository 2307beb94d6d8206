// Package retrybudget bounds the retries of a fleet of routers without a coordinator. Each router
// has a part of the fleet's budget for each service, over a sliding window, and borrows from other
// routers when its part is spent.
//
// It prevents two faults. If the fleet's burst is divided among many routers and each router uses
// only its own part, the answers that a crash interrupts at one router wait for budget that lies
// unused at the others. If each router has a minimum of retries instead, the fleet exceeds a tight
// budget, because the minimum is multiplied by the number of routers.
//
// Nothing here reads a clock or sends a message; package hosted does both.
package retrybudget

import (
	"slices"
	"time"
)

// tolerance is the error of sums of fractions of a retry.
const tolerance = 1e-9

// Config describes the budget of one service at one router.
type Config struct {
	Share  float64       // retries for each request
	Burst  float64       // retries beyond the share, of all routers together
	Window time.Duration // over which requests and retries are counted
	// Start is when the router started. In its first window it has no part of the burst, because a
	// router that died just before, in whose place it may be, may have used that part.
	Start time.Duration
	// Rank draws a random rank among the routers that wait at the same time.
	Rank func() uint32
}

// Budget is the budget of one service at one router. Times are taken from one clock that never
// goes back. A Budget isn't safe for concurrent use.
type Budget struct {
	cfg     Config
	ledger  *ledger
	credits []credit // loans to this router, by the time until which they may be used
	started int      // waiting retries of started answers
	others  int      // waiting retries of other requests
	rank    uint32   // drawn when a first retry of a started answer waits
	yield   float64  // estimate of what a router lends when it is asked
	asked   time.Duration
	allowed float64 // asks that may be sent now
	lent    float64
	loaned  float64
	lost    float64
}

type credit struct {
	amount float64
	until  time.Duration
}

// New returns the budget of a service.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, ledger: newLedger(cfg.Window), allowed: asksAtOnce, asked: cfg.Start}
}

// Reconfigure puts another configuration in force. Another window begins with no history, as at a start: until it has passed, the
// router has no part of the burst, since it may have used that in the window before.
func (b *Budget) Reconfigure(cfg Config) {
	if cfg.Window != b.cfg.Window {
		b.ledger = newLedger(cfg.Window)
	}
	b.cfg = cfg
}

// First records the first try of a request.
func (b *Budget) First(now time.Duration) { b.ledger.first(now) }

// own returns the state of the router's own budget.
func (b *Budget) own(now time.Duration, routers int) level {
	burst := 0.0
	if routers > 0 && now >= b.cfg.Start+b.cfg.Window {
		burst = b.cfg.Burst / float64(routers)
	}
	return b.ledger.level(now, b.cfg.Share, burst)
}

// borrowed returns the loans that may still be used, and forgets the others.
func (b *Budget) borrowed(now time.Duration) (sum float64) {
	b.credits = slices.DeleteFunc(b.credits, func(c credit) bool {
		if c.until <= now {
			b.lost += c.amount
		}
		return c.until <= now
	})
	for _, c := range b.credits {
		sum += c.amount
	}
	return sum
}

// Draw draws one retry; started says that the retry continues a started answer, which goes before
// others and may use the whole budget. routers is the number of routers that share the burst, or 0
// if it isn't known.
func (b *Budget) Draw(now time.Duration, routers int, started bool) bool {
	if !started && b.started > 0 {
		return false
	}
	own := b.own(now, routers)
	fromOwn := max(1-b.borrowed(now), 0)
	if fromOwn > tolerance && own.left-fromOwn < reserve(own.most, started)-tolerance {
		return false
	}
	b.useCredits(1 - fromOwn)
	b.ledger.draw(now, fromOwn)
	return true
}

func (b *Budget) useCredits(amount float64) {
	for i := range b.credits {
		used := min(b.credits[i].amount, amount)
		b.credits[i].amount -= used
		amount -= used
	}
	b.credits = slices.DeleteFunc(b.credits, func(c credit) bool { return c.amount <= 0 })
}

// Wait records that a retry begins (n is 1) or ends (n is -1) to wait for budget.
func (b *Budget) Wait(started bool, n int) {
	if !started {
		b.others += n
		return
	}
	if b.started == 0 && b.cfg.Rank != nil {
		b.rank = b.cfg.Rank()
	}
	b.started += n
}

// Available reports whether a retry of a started answer could be drawn now.
func (b *Budget) Available(now time.Duration, routers int) bool {
	credit := b.borrowed(now)
	return credit >= 1-tolerance || credit+b.own(now, routers).left >= 1-tolerance
}

// Waiting returns the number of retries that wait for budget.
func (b *Budget) Waiting() int { return b.started + b.others }

// Lend answers another router's request. The loan counts as drawn from now on, whether the reply
// arrives or not, so a lost reply creates no budget.
func (b *Budget) Lend(now time.Duration, routers int, r LoanRequest) (reply LoanReply) {
	waiting := b.started
	if !r.Started {
		waiting += b.others
	}
	if lendsHoldings(b.started, b.rank, r) {
		waiting = 0
		reply = b.passOn(now, r.Count)
	}
	loan := lendable(b.own(now, routers), waiting, b.cfg.Window, r.Count-reply.Granted, r.Started)
	if loan >= tolerance {
		b.ledger.draw(now+Keep, loan)
		reply.Granted += loan
	}
	b.lent += reply.Granted
	return reply
}

// passOn lends loans that this router has borrowed, which may be kept for what is left of their time.
func (b *Budget) passOn(now time.Duration, count float64) (reply LoanReply) {
	available := b.borrowed(now)
	shortest := Keep
	for _, c := range b.credits {
		shortest = min(shortest, c.until-now)
	}
	if available < tolerance || shortest < minPassOn {
		return LoanReply{}
	}
	reply = LoanReply{Granted: min(available, count), KeepMS: uint32(shortest / time.Millisecond)}
	b.useCredits(reply.Granted)
	return reply
}

// Ask returns how many of the known other routers to ask now, and for what.
func (b *Budget) Ask(now time.Duration, routers, known int) (asks int, r LoanRequest) {
	own := b.own(now, routers)
	r.Started, r.Rank = b.started > 0, b.rank
	waiting := b.others
	if r.Started {
		waiting = b.started
	}
	need := float64(waiting) - b.borrowed(now) - max(own.left-reserve(own.most, r.Started), 0)
	since := now - b.asked
	if b.yield == 0 || since > b.cfg.Window {
		b.yield = max(own.most, minYield) // the others are likely to be like this router
	}
	b.allowed = min(b.allowed+since.Seconds()*asksPerSecond, asksAtOnce)
	b.asked = now
	asks, r.Count = plan(need, b.yield, known, int(b.allowed))
	b.allowed -= float64(asks)
	return asks, r
}

// Granted records the reply to a request for a loan that was sent at sent. It returns false if the
// reply is invalid or too late, so that the loan is lost.
func (b *Budget) Granted(now, sent time.Duration, r LoanRequest, reply LoanReply) bool {
	if reply.check(r) != nil {
		return false
	}
	b.yield = nextYield(b.yield, reply.Granted, r.Count)
	b.loaned += reply.Granted
	// The lender counts from its reply on, which is later than sent.
	if until := sent + reply.keep(); until > now && reply.Granted > 0 {
		b.credits = append(b.credits, credit{reply.Granted, until})
		return true
	}
	b.lost += reply.Granted
	return reply.Granted == 0
}

// State describes a budget in the state dump. All figures but the waiting retries are in retries.
type State struct {
	Own, Most, Drawn, Credit          float64
	Lent, Borrowed, Lost              float64 // since the start
	WaitingStarted, WaitingNotStarted int
}

// State returns the state at a time.
func (b *Budget) State(now time.Duration, routers int) State {
	s := State{Credit: b.borrowed(now), Lent: b.lent, Borrowed: b.loaned, Lost: b.lost, WaitingStarted: b.started, WaitingNotStarted: b.others}
	own := b.own(now, routers)
	s.Own, s.Most, s.Drawn = own.left, own.most, own.drawn
	return s
}
