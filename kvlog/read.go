package kvlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeondale/event"
	"wigeondale/infra"
)

// Read returns at most max entries from position from on (from 1), in order;
// none when from is beyond the end. Errors: ErrUnavailable, *TruncatedError.
func (l *Log) Read(ctx context.Context, from uint64, max int) ([]Entry, error) {
	entries, _, err := l.readPage(ctx, from, max)
	return entries, err
}

// readPage reads entries first and the pointer after. A late create may have
// put an entry at a truncated position; the pointer tells it apart, because
// its floor rose before that position could become absent.
func (l *Log) readPage(ctx context.Context, from uint64, limit int) ([]Entry, pointer, error) {
	from = max(from, 1)
	values, err := l.kv.Range(ctx, l.entryKey(from), l.entryEnd(), limit)
	if err != nil {
		return nil, pointer{}, unavailable(err)
	}
	if len(values) == 0 {
		return nil, pointer{}, nil
	}
	p, err := l.readPointer(ctx)
	if err != nil {
		return nil, pointer{}, unavailable(err)
	}
	if from < p.Floor {
		return nil, p, Error.Wrap(&TruncatedError{From: from, Floor: p.Floor, UpTo: p.UpTo})
	}
	entries := make([]Entry, 0, len(values))
	for i, v := range values {
		e, err := l.decodeEntry(v)
		if err != nil {
			return nil, p, err
		}
		if e.N != from+uint64(i) {
			return nil, p, Error.Wrap(fmt.Errorf("%w: entry %d where %d belongs", ErrCorrupt, e.N, from+uint64(i)))
		}
		entries = append(entries, e)
	}
	return entries, p, nil
}

func (l *Log) readOne(ctx context.Context, n uint64) (Entry, error) {
	entries, p, err := l.readPage(ctx, n, 1)
	if err != nil {
		return Entry{}, err
	}
	if len(entries) == 0 {
		return Entry{}, Error.Wrap(&TruncatedError{From: n, Floor: p.Floor, UpTo: p.UpTo})
	}
	return entries[0], nil
}

// Follow calls f with every entry from position from on, in order, until ctx
// ends, f fails or the position is truncated (*TruncatedError: load the
// snapshot and follow on). A watch tells of new entries at once. Because a cut
// watch is silent, a jittered poll finds entries that it did not tell of.
// Outages are waited out.
func (l *Log) Follow(ctx context.Context, from uint64, f func(Entry) error) error {
	t := &tail{log: l, next: max(from, 1), deliver: f}
	for ctx.Err() == nil {
		if err := t.round(ctx); err != nil {
			return err
		}
	}
	return Error.Wrap(context.Cause(ctx))
}

// tail is the state of one Follow.
type tail struct {
	log     *Log
	next    uint64
	rev     int64 // of the last entry delivered, 0 if none
	deliver func(Entry) error
}

// round reads to the end, then follows one watch until it closes.
func (t *tail) round(ctx context.Context) error {
	if err := t.drain(ctx); err != nil {
		return err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var start int64
	if t.rev > 0 {
		start = t.rev + 1
	}
	events, err := t.log.kv.Watch(watchCtx, t.log.prefix+entryPart, start)
	if err != nil {
		t.log.opts.Events.Emit(event.LogWatchLost, "prefix", t.log.prefix, "err", err)
		t.wait(ctx)
		return nil
	}
	if start == 0 {
		// What was appended between the read and the watch shows on neither.
		if err := t.drain(ctx); err != nil {
			return err
		}
	}
	return t.follow(ctx, events)
}

func (t *tail) follow(ctx context.Context, events <-chan infra.WatchEvent) error {
	for {
		poll := time.NewTimer(t.log.pollDelay())
		select {
		case <-ctx.Done():
			poll.Stop()
			return nil
		case e, open := <-events:
			poll.Stop()
			if !open {
				t.wait(ctx)
				return nil
			}
			if err := t.event(ctx, e); err != nil {
				return err
			}
		case <-poll.C:
			if err := t.drain(ctx); err != nil {
				return err
			}
		}
	}
}

// event takes an entry straight from the watch when it is the next one and
// the watch began right after the one before. The first create that such a
// watch shows at a position is the genuine one. Anything else is a reason to read.
func (t *tail) event(ctx context.Context, e infra.WatchEvent) error {
	if e.Err != nil {
		t.log.opts.Events.Emit(event.LogWatchLost, "prefix", t.log.prefix, "err", e.Err)
		if errors.Is(e.Err, infra.ErrCompacted) {
			t.rev = 0
		}
		return nil
	}
	if e.Deleted {
		return nil
	}
	entry, err := t.log.decodeEntry(e.Value)
	if err != nil {
		return err
	}
	if entry.N < t.next {
		return nil
	}
	if entry.N > t.next || t.rev == 0 {
		return t.drain(ctx)
	}
	return t.take(entry)
}

func (t *tail) take(e Entry) error {
	if err := t.deliver(e); err != nil {
		return err
	}
	t.next = e.N + 1
	t.rev = e.Rev
	return nil
}

// drain reads and delivers to the end of the log; an outage ends it early.
func (t *tail) drain(ctx context.Context) error {
	page := t.log.opts.PageEntries
	for {
		entries, err := t.log.Read(ctx, t.next, page)
		if errors.Is(err, ErrUnavailable) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, e := range entries {
			if err := t.take(e); err != nil {
				return err
			}
		}
		if len(entries) < page {
			return nil
		}
	}
}

func (t *tail) wait(ctx context.Context) {
	timer := time.NewTimer(t.log.pollDelay())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pollDelay spreads polls over half to one and a half of the mean, so that
// nodes that lost their watch together don't read together.
func (l *Log) pollDelay() time.Duration {
	return time.Duration((0.5 + l.opts.Jitter()) * float64(l.opts.Poll))
}
