package kvlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeondale/infra"
)

// Append adds an entry and returns its position. Within the window, an id is
// appended once however often and by however many processes it is asked for.
//
// Errors: ErrUnavailable (not appended), ErrUnsettled (call again with the
// same id and data), ErrExpired, ErrTooLarge, *TruncatedError (this Log fell
// behind a truncation; nothing was appended, and the next call starts afresh).
func (l *Log) Append(ctx context.Context, id string, data []byte) (uint64, error) {
	value, err := encodeEntry(id, data)
	if err != nil {
		return 0, err
	}
	if err := l.lock(ctx); err != nil {
		return 0, l.settledError(id, err)
	}
	defer l.unlock()
	n, err := l.append(ctx, id, value)
	return n, l.settledError(id, err)
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
		if err := l.expired(id); err != nil {
			return 0, err
		}
		n := l.next
		e, err := l.place(ctx, n, id, value)
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

// AppendAt adds an entry at position n only. won is true when the entry with
// this id is in the log, and existing is then that entry: at n, or where an
// earlier append of the same id put it. Otherwise existing is the entry that
// holds n. Errors are those of Append, and ErrGap.
func (l *Log) AppendAt(ctx context.Context, n uint64, id string, data []byte) (won bool, existing Entry, err error) {
	value, err := encodeEntry(id, data)
	if err != nil {
		return false, Entry{}, err
	}
	if err := l.lock(ctx); err != nil {
		return false, Entry{}, l.settledError(id, err)
	}
	defer l.unlock()
	existing, err = l.appendAt(ctx, n, id, value)
	return err == nil && existing.ID == id, existing, l.settledError(id, err)
}

func (l *Log) appendAt(ctx context.Context, n uint64, id string, value []byte) (Entry, error) {
	// Looked up before and after reading on: reading may find the log truncated
	// and forget the ids.
	if m, ok := l.find(id); ok {
		return l.own(ctx, m, value)
	}
	if err := l.catchUp(ctx); err != nil {
		return Entry{}, err
	}
	if m, ok := l.find(id); ok {
		return l.own(ctx, m, value)
	}
	if err := l.expired(id); err != nil {
		return Entry{}, err
	}
	if n < l.next {
		return l.readOne(ctx, n)
	}
	if n > l.next {
		return Entry{}, Error.Wrap(fmt.Errorf("%w: %d, end is %d", ErrGap, n, l.next-1))
	}
	e, err := l.place(ctx, n, id, value)
	if err != nil || e.ID == id {
		return e, err
	}
	if err := l.catchUp(ctx); err != nil {
		return Entry{}, err
	}
	if m, ok := l.find(id); ok {
		return l.own(ctx, m, value)
	}
	return e, nil
}

// find returns where id is known to be in the log.
func (l *Log) find(id string) (uint64, bool) {
	landed, ok := l.unsettled.takeLanded(id)
	if ok {
		return landed, true
	}
	return l.ids.find(id)
}

// own returns the entry with this id, which is known to be at n. If it was
// truncated since, it is still appended, and what was asked for stands for it.
func (l *Log) own(ctx context.Context, n uint64, value []byte) (Entry, error) {
	e, err := l.readOne(ctx, n)
	if err == nil {
		return e, nil
	}
	return l.decodeEntry(infra.Value{Key: l.entryKey(n), Data: value})
}

// place creates value at n, the lowest position not seen taken, and returns
// the entry that holds n. It tries the same create again while its outcome is
// unknown: create-if-absent also reads back what is there.
func (l *Log) place(ctx context.Context, n uint64, id string, value []byte) (Entry, error) {
	var err error
	for try := range l.opts.SettleTries {
		if try > 0 && !l.pause(ctx) {
			break
		}
		var e Entry
		e, err = l.create(ctx, n, id, value)
		if err == nil {
			return l.confirm(ctx, e, id)
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

// confirm checks that n is not below the floor, after the create. A process
// that was paused while others appended, took a snapshot and truncated would
// otherwise create an entry at a position that no reader looks at, and
// acknowledge it. The create cannot have succeeded at a deleted position
// before the pointer's floor rose above it, so a read after it shows that.
func (l *Log) confirm(ctx context.Context, e Entry, id string) (Entry, error) {
	p, err := l.readPointer(ctx)
	if err != nil {
		if e.ID == id {
			l.unsettled.set(id, e.N)
		}
		return Entry{}, unavailable(err)
	}
	if e.N < p.Floor {
		if e.ID == id && e.Rev < p.rev {
			// Created before this pointer: perhaps in time and truncated since,
			// perhaps after an earlier truncation. Neither answer would be sure.
			l.unsettled.set(id, e.N)
		}
		l.restart(p)
		return Entry{}, Error.Wrap(&TruncatedError{From: e.N, Floor: p.Floor, UpTo: p.UpTo})
	}
	if e.ID == id {
		l.learn(e)
	}
	return e, nil
}

// restart forgets the position, so that the next call begins at the floor.
func (l *Log) restart(p pointer) {
	l.next = 0
	l.ids = newIDWindow(l.opts.Window)
	l.count("restart")
	l.unsettled.expire(p.Floor)
}

func (l *Log) expired(id string) error {
	if n, ok := l.unsettled.get(id); ok && n == expiredPosition {
		return Error.Wrap(ErrExpired)
	}
	return nil
}

// learn moves past entry e at l.next, which settles what was unsettled there.
func (l *Log) learn(e Entry) {
	l.next = e.N + 1
	l.ids.add(e.N, e.ID)
	l.unsettled.settle(e.N, e.ID)
	if l.opts.Observe != nil {
		l.opts.Observe(e)
	}
}

// catchUp reads entries until the end of the log.
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
			var gone *TruncatedError
			if errors.As(err, &gone) {
				l.restart(p)
			}
			return err
		}
		for _, e := range entries {
			l.learn(e)
		}
		if len(entries) < l.opts.PageEntries {
			return nil
		}
	}
}

// settledError upgrades "not appended" to "unsettled" while an earlier create
// of the same id may still land. Saying "not appended" then would be false if
// it did.
func (l *Log) settledError(id string, err error) error {
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

// withoutUnavailable keeps the text of err but not its claim to be final.
func withoutUnavailable(err error) error { return errors.New(err.Error()) }

func (l *Log) pause(ctx context.Context) bool {
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
