package kvlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeondale/infra"
)

// Append adds an entry and returns its position. An id is appended only once within the
// window, no matter how often and by how many processes Append is called with that id.
//
// Errors: ErrUnavailable (this call did not append the entry), ErrUnsettled (call again
// with the same id and data), ErrExpired, ErrTooLarge, *TruncatedError (the log was
// truncated beyond the position that this Log had reached; nothing was appended, and the
// next call starts reading at the floor).
func (l *Log) Append(ctx context.Context, id string, data []byte) (uint64, error) {
	value, err := encodeEntry(id, data)
	if err != nil {
		return 0, err
	}
	if err := l.lock(ctx); err != nil {
		return 0, l.withUnsettled(id, err)
	}
	defer l.unlock()
	n, err := l.append(ctx, id, value)
	return n, l.withUnsettled(id, err)
}

func (l *Log) append(ctx context.Context, id string, value []byte) (uint64, error) {
	if l.next == 0 {
		if err := l.catchUp(ctx); err != nil {
			return 0, err
		}
	}
	for {
		if n, ok := l.find(id); ok {
			return n, nil
		}
		if err := l.checkExpired(id); err != nil {
			return 0, err
		}
		n := l.next
		e, err := l.createAt(ctx, n, id, value)
		if err != nil {
			return 0, err
		}
		if e.ID == id {
			return n, nil
		}
		if err := l.catchUp(ctx); err != nil {
			return 0, err
		}
	}
}

// AppendAt adds an entry at position n only. won is true when an entry with this id is in
// the log, at n or at the position where an earlier append of the same id put it; existing
// is then that entry. won is false when another entry is at n; existing is then the entry at
// n. AppendAt returns the same errors as Append, and ErrGap if a position below n is free.
func (l *Log) AppendAt(ctx context.Context, n uint64, id string, data []byte) (won bool, existing Entry, err error) {
	value, err := encodeEntry(id, data)
	if err != nil {
		return false, Entry{}, err
	}
	if err := l.lock(ctx); err != nil {
		return false, Entry{}, l.withUnsettled(id, err)
	}
	defer l.unlock()
	existing, err = l.appendAt(ctx, n, id, value)
	return err == nil && existing.ID == id, existing, l.withUnsettled(id, err)
}

func (l *Log) appendAt(ctx context.Context, n uint64, id string, value []byte) (Entry, error) {
	// The id is looked up here, and again after catchUp, because catchUp may find the log
	// truncated and drop the known ids.
	if m, ok := l.find(id); ok {
		return l.existingEntry(ctx, m, value)
	}
	if err := l.catchUp(ctx); err != nil {
		return Entry{}, err
	}
	if m, ok := l.find(id); ok {
		return l.existingEntry(ctx, m, value)
	}
	if err := l.checkExpired(id); err != nil {
		return Entry{}, err
	}
	if n < l.next {
		return l.readOne(ctx, n)
	}
	if n > l.next {
		return Entry{}, Error.Wrap(fmt.Errorf("%w: %d, end is %d", ErrGap, n, l.next-1))
	}
	e, err := l.createAt(ctx, n, id, value)
	if err != nil || e.ID == id {
		return e, err
	}
	if err := l.catchUp(ctx); err != nil {
		return Entry{}, err
	}
	if m, ok := l.find(id); ok {
		return l.existingEntry(ctx, m, value)
	}
	return e, nil
}

// find returns the position at which id is known to be in the log; the result is false if
// this Log knows no such position.
func (l *Log) find(id string) (uint64, bool) {
	n, ok := l.unsettled.takeAppended(id)
	if ok {
		return n, true
	}
	return l.ids.find(id)
}

// existingEntry returns the entry with this id, which is known to be at n. If the entry was
// truncated since, it still counts as appended, and the returned entry is built from the
// caller's value.
func (l *Log) existingEntry(ctx context.Context, n uint64, value []byte) (Entry, error) {
	e, err := l.readOne(ctx, n)
	if err == nil {
		return e, nil
	}
	return l.decodeEntry(infra.Value{Key: l.entryKey(n), Data: value})
}

// createAt creates value at n, the lowest position not known to be taken, and returns the
// entry at n. While the outcome is unknown, createAt repeats the same create. This is safe,
// because create-if-absent returns the value that is already there.
func (l *Log) createAt(ctx context.Context, n uint64, id string, value []byte) (Entry, error) {
	var err error
	for try := range l.opts.SettleTries {
		if try > 0 && !l.waitBeforeRetry(ctx) {
			break
		}
		var e Entry
		e, err = l.create(ctx, n, id, value)
		if err == nil {
			return l.checkFloor(ctx, e, id)
		}
		if !errors.Is(err, infra.ErrUnknownOutcome) {
			return Entry{}, unavailable(err)
		}
	}
	return Entry{}, unavailable(err)
}

func (l *Log) create(ctx context.Context, n uint64, id string, value []byte) (Entry, error) {
	created, v, err := l.kv.Create(ctx, l.entryKey(n), value)
	if errors.Is(err, infra.ErrUnknownOutcome) {
		l.unsettled.set(id, n)
		l.count("unknown")
	}
	if err != nil {
		return Entry{}, err
	}
	if created {
		l.count("created")
		return l.decodeEntry(v)
	}
	l.count("taken")
	if v.Key == "" {
		return Entry{}, Error.Wrap(fmt.Errorf("%w: create refused but nothing at %d", ErrCorrupt, n))
	}
	return l.decodeEntry(v)
}

// checkFloor checks after a create that its position is not below the floor. Without this
// check, a process that was paused while others appended, took a snapshot and truncated
// would create an entry at a position that no reader reads, and report the entry to its
// caller as appended. A create can't succeed at a deleted position before the floor in the
// pointer has risen above that position, so the pointer that is read after the create shows
// such a case.
func (l *Log) checkFloor(ctx context.Context, e Entry, id string) (Entry, error) {
	p, err := l.readPointer(ctx)
	if err != nil {
		if e.ID == id {
			l.unsettled.set(id, e.N)
		}
		return Entry{}, unavailable(err)
	}
	if e.N < p.Floor {
		if e.ID == id && e.Rev < p.rev {
			// The entry was created before this pointer was written: either in time and
			// truncated since, or after an earlier truncation, when the position was
			// already below the floor. Neither "appended" nor "not appended" would be
			// certain.
			l.unsettled.set(id, e.N)
		}
		l.resetPosition(p)
		return Entry{}, Error.Wrap(&TruncatedError{From: e.N, Floor: p.Floor, UpTo: p.UpTo})
	}
	if e.ID == id {
		l.recordEntry(e)
	}
	return e, nil
}

// resetPosition drops this Log's position and the known ids, because the log was truncated
// beyond that position; the next call starts reading at the floor. Ids with an unknown
// outcome below the floor are marked as expired.
func (l *Log) resetPosition(p pointer) {
	l.next = 0
	l.ids = newIDWindow(l.opts.Window)
	l.count("restart")
	l.unsettled.expire(p.Floor)
}

func (l *Log) checkExpired(id string) error {
	if n, ok := l.unsettled.get(id); ok && n == expiredPosition {
		return Error.Wrap(ErrExpired)
	}
	return nil
}

// recordEntry records entry e, which is at l.next, and moves l.next past it. An append at
// that position whose outcome was unknown thereby has a known outcome.
func (l *Log) recordEntry(e Entry) {
	l.next = e.N + 1
	l.ids.add(e.N, e.ID)
	l.unsettled.resolve(e.N, e.ID)
	if l.opts.Observe != nil {
		l.opts.Observe(e)
	}
}

// catchUp reads the entries from l.next to the end of the log and records them.
func (l *Log) catchUp(ctx context.Context) error {
	if l.next == 0 {
		p, err := l.readPointer(ctx)
		if err != nil {
			return unavailable(err)
		}
		l.next = max(p.Floor, 1)
	}
	for {
		entries, p, err := l.readPage(ctx, l.next, l.opts.PageEntries)
		if err != nil {
			var truncated *TruncatedError
			if errors.As(err, &truncated) {
				l.resetPosition(p)
			}
			return err
		}
		for _, e := range entries {
			l.recordEntry(e)
		}
		if len(entries) < l.opts.PageEntries {
			return nil
		}
	}
}

// withUnsettled replaces "not appended" by ErrUnsettled while an earlier create of the same
// id may still take effect, because "not appended" would be false if that create did take
// effect.
func (l *Log) withUnsettled(id string, err error) error {
	if err == nil {
		return nil
	}
	n, ok := l.unsettled.get(id)
	switch {
	case !ok || errors.Is(err, ErrExpired):
		return err
	case n == expiredPosition:
		return Error.Wrap(fmt.Errorf("%w: %w", ErrExpired, withoutUnavailable(err)))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrUnsettled, withoutUnavailable(err)))
}

// withoutUnavailable returns an error that has the text of err but doesn't match
// ErrUnavailable, because ErrUnavailable would state that nothing was appended, which isn't
// known here.
func withoutUnavailable(err error) error { return errors.New(err.Error()) }

func (l *Log) waitBeforeRetry(ctx context.Context) bool {
	d := time.Duration((0.5 + l.opts.Jitter()) * float64(l.opts.SettleDelay))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Log) count(result string) {
	if l.opts.Metrics == nil {
		return
	}
	l.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`wigeon_kvlog_creates_total{result=%q}`, result)).Inc()
}
