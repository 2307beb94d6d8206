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

// view is a shard's table, built from the entries that one log handle reads. It
// can be rebuilt at any time: if the log is truncated beyond the position that
// the view has reached, the view is discarded and built again.
type view struct {
	log *kvlog.Log

	mu         sync.Mutex
	table      *table
	applied    uint64 // log position up to which entries are applied to table
	snapshot   uint64 // log position of the last snapshot loaded or stored
	incomplete bool   // an entry is missing from table because its position was skipped
}

// observe applies entry e to the table; the log calls it for each entry in order. The log
// starts reading some entries before the snapshot's position, because it needs the ids of
// these entries to detect repeated appends; observe skips these entries, which the snapshot
// already contains.
func (v *view) observe(e kvlog.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case e.N <= v.applied:
		return
	case e.N > v.applied+1:
		v.incomplete = true
		return
	}
	v.applied = e.N
	var data entry
	if err := cbor.Unmarshal(e.Data, &data); err != nil {
		return // no reader can decode the entry, so it changes the state of none
	}
	v.table.apply(data)
}

func (v *view) isIncomplete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incomplete
}

// shard writes and reads the claims of one shard.
type shard struct {
	id    int
	cfg   *Config
	local *batcher // batches written to the log by this node
	relay *batcher // batches forwarded to the owner
	seq   atomic.Uint64

	mu            sync.Mutex
	view          *view
	cooldownUntil time.Time
}

// writeBatch writes one batch to the log and returns the resulting state of the
// keys. Only the local batcher calls it, so there is one call at a time.
func (s *shard) writeBatch(ops []Op) []Result {
	if s.inCooldown() {
		return repeatResult(len(ops), CodeUnavailable)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.SendTimeout)
	defer cancel()
	results := s.resolveAndAppend(ctx, ops)
	s.recordFailure(results)
	return results
}

func (s *shard) resolveAndAppend(ctx context.Context, ops []Op) []Result {
	v, err := s.openView(ctx)
	if err != nil {
		return repeatResult(len(ops), CodeUnavailable)
	}
	if v, err = s.refresh(ctx, v, ops); err != nil {
		return repeatResult(len(ops), CodeUnavailable)
	}
	results := make([]Result, len(ops))
	unresolved := v.resolve(ops, results)
	if len(unresolved) == 0 {
		return results
	}
	toWrite := make([]Op, len(unresolved))
	for i, index := range unresolved {
		toWrite[i] = ops[index]
	}
	code := s.append(ctx, v, entry{Ops: toWrite, AtUnix: time.Now().Unix()})
	for _, index := range unresolved {
		results[index] = v.outcome(code, ops[index].Key)
	}
	return results
}

// append writes the entry to the log. It returns CodeDone if the entry is in the log
// and applied to v, CodeUnknown if the entry may be in the log, and CodeUnavailable if
// the entry is not in the log.
func (s *shard) append(ctx context.Context, v *view, e entry) Code {
	data, err := cbor.Marshal(e)
	if err != nil {
		return CodeUnavailable
	}
	id := fmt.Sprintf("%s-%s-%d", s.cfg.Node, s.cfg.Incarnation, s.seq.Add(1))
	_, err = v.log.Append(ctx, id, data)
	var truncated *kvlog.TruncatedError
	switch {
	case err == nil && !v.isIncomplete():
		return CodeDone
	case err == nil:
		// The entry is in the log, but this view lacks entries that precede it, so the view
		// cannot show which attempt holds each key.
		s.discardView(v)
		return CodeUnknown
	case errors.Is(err, kvlog.ErrUnsettled), errors.Is(err, kvlog.ErrExpired):
		s.cfg.Events.Emit(event.ClaimsUnsettled, "shard", s.id, "err", err)
		return CodeUnknown
	case errors.As(err, &truncated):
		s.discardView(v)
		return CodeUnavailable
	}
	s.cfg.Events.Emit(event.ClaimsUnavailable, "shard", s.id, "err", err)
	return CodeUnavailable
}

// refresh reads the log to its end if v has a claim for any of the keys, because
// another router that acts as the owner may have voided that claim since. If the log
// was truncated, refresh returns a new view. If the read fails for another reason, it
// returns v as it is: at worst v shows a claim that has been voided since, which causes
// an unnecessary refusal but never a second run.
func (s *shard) refresh(ctx context.Context, v *view, ops []Op) (*view, error) {
	if !v.hasAnyClaim(ops) {
		return v, nil
	}
	_, err := v.log.Head(ctx)
	var truncated *kvlog.TruncatedError
	if errors.As(err, &truncated) {
		s.discardView(v)
		return s.openView(ctx)
	}
	return v, nil
}

// resolve fills in the results of the operations that would not change the log's
// state and returns the indexes of the operations that must be written.
func (v *view) resolve(ops []Op, results []Result) (unresolved []int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, op := range ops {
		r, exists := v.table.result(op.Key)
		if exists && isNoOp(r, op) {
			results[i] = r
			continue
		}
		unresolved = append(unresolved, i)
	}
	return unresolved
}

// isNoOp reports whether op would change nothing, given the key's state r.
func isNoOp(r Result, op Op) bool {
	if op.Kind == OpVoid {
		return r.Attempt != op.Attempt && r.State == Claimed || r.Attempt == op.Attempt && r.State == Voided
	}
	return r.State == Claimed || r.Attempt == op.Attempt
}

func (v *view) hasAnyClaim(ops []Op) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, op := range ops {
		if _, exists := v.table.claims[op.Key]; exists {
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

// openView returns the shard's view. If there is no view, or the current view lacks
// entries, openView builds a new view from the snapshot and the log.
func (s *shard) openView(ctx context.Context) (*view, error) {
	if v := s.currentView(); v != nil && !v.isIncomplete() {
		return v, nil
	}
	v, err := s.buildView(ctx)
	if err != nil {
		return nil, err
	}
	s.cfg.Events.Emit(event.ClaimsRebuilt, "shard", s.id, "position", v.applied)
	s.mu.Lock()
	s.view = v
	s.mu.Unlock()
	return v, nil
}

func (s *shard) buildView(ctx context.Context) (*view, error) {
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
	if v.isIncomplete() {
		return nil, Error.New("shard %d: log was truncated during the read", s.id)
	}
	return v, nil
}

func (s *shard) prefix() string { return fmt.Sprintf("%s%04d/", s.cfg.Prefix, s.id) }

func (s *shard) currentView() *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *shard) discardView(v *view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == v {
		s.view = nil
	}
}

// inCooldown reports whether the last failed batch of this shard was less than
// Config.Cooldown ago; batches are then refused without a try. Without the cooldown, each
// claim during an outage would wait for a timeout before it is refused.
func (s *shard) inCooldown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.cooldownUntil)
}

// recordFailure starts the cooldown if any operation of a batch was not written to the log
// or may not have been written.
func (s *shard) recordFailure(results []Result) {
	for _, r := range results {
		if r.Code == CodeDone {
			continue
		}
		s.mu.Lock()
		s.cooldownUntil = time.Now().Add(s.cfg.Cooldown)
		s.mu.Unlock()
		return
	}
}
