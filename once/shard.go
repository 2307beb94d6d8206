package once

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/event"
	"wigeondale/kvlog"
)

// view is a shard's table as one log handle feeds it. It is soft: when it
// falls behind a truncation it is thrown away and built anew.
type view struct {
	log *kvlog.Log

	mu       sync.Mutex
	table    *table
	applied  uint64 // position that table stands at
	snapshot uint64 // position of the snapshot last seen
	broken   bool   // a position was skipped
}

// observe takes the log's entries in order. The log starts some entries before
// the snapshot's position, for the ids; those are skipped.
func (v *view) observe(e kvlog.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case e.N <= v.applied:
		return
	case e.N > v.applied+1:
		v.broken = true
		return
	}
	v.applied = e.N
	var data entry
	if err := cbor.Unmarshal(e.Data, &data); err != nil {
		return // not ours to read; it holds no operation for any reader
	}
	v.table.apply(data)
}

func (v *view) isBroken() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.broken
}

// shard writes and reads the claims of one shard.
type shard struct {
	id    int
	cfg   *Config
	local *batcher // to the log
	relay *batcher // to the owner
	seq   atomic.Uint64

	mu        sync.Mutex
	view      *view
	downUntil time.Time
}

// send writes one batch and answers from the log. Only the local batcher calls
// it, so one batch is under way at a time.
func (s *shard) send(ops []Op) []Result {
	if s.isDown() {
		return sameResults(len(ops), CodeUnavailable)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.SendTimeout)
	defer cancel()
	results := s.write(ctx, ops)
	s.noteFailure(results)
	return results
}

func (s *shard) write(ctx context.Context, ops []Op) []Result {
	v, err := s.open(ctx)
	if err != nil {
		return sameResults(len(ops), CodeUnavailable)
	}
	if v, err = s.refresh(ctx, v, ops); err != nil {
		return sameResults(len(ops), CodeUnavailable)
	}
	results := make([]Result, len(ops))
	open := v.decide(ops, results)
	if len(open) == 0 {
		return results
	}
	todo := make([]Op, len(open))
	for i, at := range open {
		todo[i] = ops[at]
	}
	code := s.append(ctx, v, entry{Ops: todo, AtUnix: time.Now().Unix()})
	for _, at := range open {
		results[at] = v.outcome(code, ops[at].Key)
	}
	return results
}

// append returns CodeDone when the entry is in the log and v stands behind it.
func (s *shard) append(ctx context.Context, v *view, e entry) Code {
	data, err := cbor.Marshal(e)
	if err != nil {
		return CodeUnavailable
	}
	id := fmt.Sprintf("%s-%s-%d", s.cfg.Node, s.cfg.Incarnation, s.seq.Add(1))
	_, err = v.log.Append(ctx, id, data)
	var gone *kvlog.TruncatedError
	switch {
	case err == nil && !v.isBroken():
		return CodeDone
	case err == nil:
		// Written, but this view can't tell what came before it.
		s.drop(v)
		return CodeUnknown
	case errors.Is(err, kvlog.ErrUnsettled), errors.Is(err, kvlog.ErrExpired):
		s.cfg.Events.Emit(event.ClaimsUnsettled, "shard", s.id, "err", err)
		return CodeUnknown
	case errors.As(err, &gone):
		s.drop(v)
		return CodeUnavailable
	}
	s.cfg.Events.Emit(event.ClaimsUnavailable, "shard", s.id, "err", err)
	return CodeUnavailable
}

// refresh reads the log to its end if v shows a holder for any of the keys,
// because the holder may have been voided by another owner since. A failed
// read leaves the older answer. It can only say "held" of a key that was voided
// since: a refusal that was not needed, never a second run.
func (s *shard) refresh(ctx context.Context, v *view, ops []Op) (*view, error) {
	if !v.holdsAny(ops) {
		return v, nil
	}
	_, err := v.log.Head(ctx)
	var gone *kvlog.TruncatedError
	if errors.As(err, &gone) {
		s.drop(v)
		return s.open(ctx)
	}
	return v, nil
}

// decide fills in what the log already answers and returns the indexes of the
// operations left to write.
func (v *view) decide(ops []Op, results []Result) (open []int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, op := range ops {
		r, held := v.table.result(op.Key)
		if held && settles(r, op) {
			results[i] = r
			continue
		}
		open = append(open, i)
	}
	return open
}

// settles reports whether op would change nothing, given what the log shows.
func settles(r Result, op Op) bool {
	if op.Kind == OpVoid {
		return r.Attempt != op.Attempt && r.State == Claimed || r.Attempt == op.Attempt && r.State == Voided
	}
	return r.State == Claimed || r.Attempt == op.Attempt
}

func (v *view) holdsAny(ops []Op) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, op := range ops {
		if _, held := v.table.claims[op.Key]; held {
			return true
		}
	}
	return false
}

func (v *view) outcome(code Code, key KeyID) Result {
	if code != CodeDone {
		return Result{Code: code}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	r, _ := v.table.result(key)
	return r
}

// open returns the shard's view, built from snapshot and log if there is none.
func (s *shard) open(ctx context.Context) (*view, error) {
	if v := s.current(); v != nil && !v.isBroken() {
		return v, nil
	}
	v, err := s.build(ctx)
	if err != nil {
		return nil, err
	}
	s.cfg.Events.Emit(event.ClaimsRebuilt, "shard", s.id, "position", v.applied)
	s.mu.Lock()
	s.view = v
	s.mu.Unlock()
	return v, nil
}

func (s *shard) build(ctx context.Context) (*view, error) {
	v := &view{table: newTable()}
	opts := s.cfg.logOptions()
	opts.Observe = v.observe
	v.log = kvlog.New(s.cfg.KV, s.prefix(), opts)
	upTo, data, ok, err := v.log.LoadSnapshot(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if ok {
		if v.table, err = decodeTable(data); err != nil {
			return nil, err
		}
		v.applied, v.snapshot = upTo, upTo
	}
	if _, err := v.log.Head(ctx); err != nil {
		return nil, Error.Wrap(err)
	}
	if v.isBroken() {
		return nil, Error.New("shard %d: truncated while being read", s.id)
	}
	return v, nil
}

func (s *shard) prefix() string { return fmt.Sprintf("%s%04d/", s.cfg.Prefix, s.id) }

func (s *shard) current() *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *shard) drop(v *view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == v {
		s.view = nil
	}
}

// isDown is true for a short time after a failure. Without it, every claim of
// an outage would wait for a timeout before it is refused.
func (s *shard) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

func (s *shard) noteFailure(results []Result) {
	for _, r := range results {
		if r.Code == CodeDone {
			continue
		}
		s.mu.Lock()
		s.downUntil = time.Now().Add(s.cfg.Cooldown)
		s.mu.Unlock()
		return
	}
}
