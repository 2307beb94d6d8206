package kvlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// Read returns at most max entries in order, starting at position from (counted from 1). It
// returns no entries when from is beyond the end. Errors: ErrUnavailable, *TruncatedError.
func (l *Log) Read(ctx context.Context, from uint64, max int) ([]Entry, error) {
	entries, _, err := l.readPage(ctx, from, max)
	return entries, err
}

// readPage reads the entries first and the pointer after them, because a delayed create may
// have put an entry at a truncated position. The pointer that is read afterwards shows
// this: its floor rose above that position before the position could become absent.
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

// Follow calls f for every entry from position from on, in order, until ctx ends, f
// returns an error or the position is truncated (*TruncatedError: the caller loads the
// snapshot and calls Follow again). A watch delivers new entries immediately. Because a
// broken watch delivers nothing and reports no error, Follow also polls with jitter.
// While the service is unavailable, Follow keeps trying.
func (l *Log) Follow(ctx context.Context, from uint64, f func(Entry) error) error {
	t := &follower{log: l, next: max(from, 1), deliver: f}
	for ctx.Err() == nil {
		if err := t.readAndWatch(ctx); err != nil {
			return err
		}
	}
	return Error.Wrap(context.Cause(ctx))
}

// follower is the state of one call of Follow.
type follower struct {
	log     *Log
	next    uint64
	rev     fleet.Revision // service revision of the last entry delivered, 0 if none
	deliver func(Entry) error
}

// readAndWatch reads to the end of the log, then follows one watch until it closes.
func (t *follower) readAndWatch(ctx context.Context) error {
	if err := t.readToEnd(ctx); err != nil {
		return err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var start fleet.Revision
	if t.rev > 0 {
		start = t.rev + 1
	}
	events, err := t.log.kv.Watch(watchCtx, t.log.prefix+entryPart, start)
	if err != nil {
		t.log.opts.Events.Emit(event.LogWatchLost, "prefix", t.log.prefix, "err", err)
		t.waitPollDelay(ctx)
		return nil
	}
	if start == 0 {
		// This second read delivers the entries that were appended after the first read and
		// before the start of the watch: neither the first read nor the watch contains
		// them.
		if err := t.readToEnd(ctx); err != nil {
			return err
		}
	}
	return t.follow(ctx, events)
}

func (t *follower) follow(ctx context.Context, events <-chan infra.WatchEvent) error {
	for {
		poll := time.NewTimer(t.log.pollDelay())
		select {
		case <-ctx.Done():
			poll.Stop()
			return nil
		case e, open := <-events:
			poll.Stop()
			if !open {
				t.waitPollDelay(ctx)
				return nil
			}
			if err := t.handleEvent(ctx, e); err != nil {
				return err
			}
		case <-poll.C:
			if err := t.readToEnd(ctx); err != nil {
				return err
			}
		}
	}
}

// handleEvent delivers an entry directly from the watch if the entry is the next one and
// the watch started right after the entry before it. The first create that such a watch
// reports at a position is the valid one. Any other event causes a read.
func (t *follower) handleEvent(ctx context.Context, e infra.WatchEvent) error {
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
		return t.readToEnd(ctx)
	}
	return t.deliverEntry(entry)
}

func (t *follower) deliverEntry(e Entry) error {
	if err := t.deliver(e); err != nil {
		return err
	}
	t.next = e.N + 1
	t.rev = e.Rev
	return nil
}

// readToEnd reads and delivers entries up to the end of the log, or until the log is
// unavailable.
func (t *follower) readToEnd(ctx context.Context) error {
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
			if err := t.deliverEntry(e); err != nil {
				return err
			}
		}
		if len(entries) < page {
			return nil
		}
	}
}

func (t *follower) waitPollDelay(ctx context.Context) {
	timer := time.NewTimer(t.log.pollDelay())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pollDelay spreads polls between 0.5 and 1.5 times the mean, so that nodes that lost
// their watches at the same time don't all read at the same time.
func (l *Log) pollDelay() time.Duration {
	return time.Duration((0.5 + l.opts.Jitter()) * float64(l.opts.Poll))
}
