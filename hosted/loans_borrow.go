package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wigeondale/event"
	"wigeondale/peer"
	"wigeondale/retrybudget"
)

const (
	// loanRound is how long a router waits for replies before it asks further routers. A call takes
	// about 8 ms if a connection has to be opened first. A retry has 100 ms: with 14 ms, and four
	// routers in ten in trouble, 984 of 1000 answers at 985 routers had budget in time, in place of 1000.
	loanRound = 10 * time.Millisecond
	// loanTimeout ends a call for a loan. A loan of a later reply is lost.
	loanTimeout = 60 * time.Millisecond
	// shortNotice is the least time between two events that say that a service lacks budget.
	shortNotice = 10 * time.Second
)

// await draws one retry as soon as there is budget, at most until the limit.
func (l *loans) await(ctx context.Context, service string, started bool, limit time.Duration) bool {
	known := l.nodes()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.of(service)
	if l.drawFrom(b, known, started) {
		return true
	}
	if limit <= 0 {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	b.Wait(started, 1)
	defer b.Wait(started, -1)
	l.borrow(service, b)
	for {
		changed := b.changed
		l.mu.Unlock()
		var ended bool
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		l.mu.Lock()
		switch {
		case ctx.Err() != nil:
			return false
		case l.drawFrom(b, known, started):
			l.m.awaited.Inc()
			return true
		case ended:
			l.short(service, b, started)
			return false
		}
	}
}

// short records that a retry found no budget in time. The caller holds l.mu.
func (l *loans) short(service string, b *serviceBudget, started bool) {
	l.m.short.Inc()
	now := l.now()
	if b.shortAt != 0 && now-b.shortAt < shortNotice {
		return
	}
	b.shortAt = now
	s := b.State(now, l.routers.Last(now))
	l.log.Emit(event.RetryBudgetShort, "service", service, "started", started, "own", s.Own, "drawn", s.Drawn,
		"lent", s.Lent, "borrowed", s.Borrowed, "waiting", b.Waiting())
}

// borrow asks other routers for loans while retries wait. The caller holds l.mu.
func (l *loans) borrow(service string, b *serviceBudget) {
	if b.borrowing {
		return
	}
	b.borrowing = true
	go func() {
		for l.borrowRound(service, b) {
		}
	}()
}

// borrowRound asks some routers and waits for their replies, at most loanRound. It returns false if
// no retry waits any more.
func (l *loans) borrowRound(service string, b *serviceBudget) bool {
	others, known := l.others(), l.nodes()
	l.mu.Lock()
	if b.borrowing = b.Waiting() > 0; !b.borrowing {
		l.mu.Unlock()
		return false
	}
	now := l.now()
	candidates := l.lenders.Candidates(now, others)
	n, req := b.Ask(now, l.sharing(now, known), len(candidates))
	req.Service = service
	asked := retrybudget.Sample(candidates, n, rand.IntN)
	changed := b.changed
	l.mu.Unlock()
	replied := make(chan struct{}, n)
	for _, node := range asked {
		go func() {
			l.askOne(node, req, b, now)
			replied <- struct{}{}
		}()
	}
	l.awaitReplies(replied, n, changed)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify(b) // budget of its own may have come back meanwhile
	return true
}

// awaitReplies waits for n replies, at most loanRound. Without an ask it waits for a change.
func (l *loans) awaitReplies(replied <-chan struct{}, n int, changed <-chan struct{}) {
	timer := time.NewTimer(loanRound)
	defer timer.Stop()
	if n == 0 {
		select {
		case <-changed:
		case <-timer.C:
		}
		return
	}
	for range n {
		select {
		case <-replied:
		case <-timer.C:
			return
		}
	}
}

// askOne asks one router for a loan and records its reply.
func (l *loans) askOne(node string, req retrybudget.LoanRequest, b *serviceBudget, sent time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), loanTimeout)
	defer stop()
	l.m.asked.Inc()
	reply, err := l.ask(ctx, node, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	answer := retrybudget.Lent
	remote, isRemote := errors.AsType[*peer.RemoteError](err)
	switch {
	case isRemote && remote.Code == peer.CodeNoHandler:
		answer = retrybudget.Unknown
	case err != nil:
		answer = retrybudget.Silent
	case !b.Granted(now, sent, req, reply):
		answer = retrybudget.Silent
	case reply.Granted < req.Count:
		answer = retrybudget.LentPart
	}
	l.lenders.Record(now, node, answer)
	if err == nil && reply.Granted > 0 {
		l.m.borrowed.Add(reply.Granted)
		l.notify(b)
	}
}
