package intent

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
)

var errLost = errors.New("answer lost")

// appendOutcome is the outcome of one append.
type appendOutcome int

const (
	applied appendOutcome = iota
	refused
	lost    // applied, but the response is lost
	delayed // answered with an error, applied later if the position is still free
	outcomeCount
)

// fakeLog is an in-memory Log. If before is set, it runs between a caller's read and that
// caller's append.
type fakeLog struct {
	entries map[uint64]LogEntry
	delayed []LogEntry
	down    bool
	next    func() appendOutcome
	before  func()
}

func newFakeLog() *fakeLog { return &fakeLog{entries: map[uint64]LogEntry{}} }

func (f *fakeLog) Head(context.Context) (uint64, error) { return uint64(len(f.entries)), nil }

func (f *fakeLog) Read(_ context.Context, from uint64, max int) ([]LogEntry, error) {
	if f.down {
		return nil, ErrUnavailable
	}
	var out []LogEntry
	for n := from; len(out) < max; n++ {
		e, ok := f.entries[n]
		if !ok {
			break
		}
		out = append(out, e)
	}
	return out, nil
}

func (f *fakeLog) AppendAt(_ context.Context, n uint64, id string, data []byte) (bool, LogEntry, error) {
	if f.before != nil {
		f.before()
	}
	e := LogEntry{N: n, ID: id, Data: data}
	outcome, down := applied, f.down
	if f.next != nil {
		outcome = f.next()
	}
	switch {
	case outcome == refused || down:
		return false, LogEntry{}, ErrUnavailable
	case outcome == delayed:
		f.delayed = append(f.delayed, e)
		return false, LogEntry{}, errLost
	}
	won := f.create(e)
	if outcome == lost {
		return false, LogEntry{}, errLost
	}
	return won || f.entries[n].ID == id, f.entries[n], nil
}

func (f *fakeLog) create(e LogEntry) bool {
	if _, taken := f.entries[e.N]; taken {
		return false
	}
	f.entries[e.N] = e
	return true
}

// applyDelayed applies a delayed write.
func (f *fakeLog) applyDelayed(i int) {
	e := f.delayed[i]
	f.delayed = append(f.delayed[:i], f.delayed[i+1:]...)
	f.create(e)
}

func (f *fakeLog) Follow(ctx context.Context, _ uint64, _ func(LogEntry)) error {
	<-ctx.Done()
	return nil
}

func (f *fakeLog) LoadSnapshot(context.Context) (uint64, []byte, bool, error) {
	if f.down {
		return 0, nil, false, ErrUnavailable
	}
	return 0, nil, false, nil
}

func (f *fakeLog) Snapshot(context.Context, uint64, []byte) error { return nil }

// fakePeers connects keepers by name; a keeper that isn't in the map can't be reached.
type fakePeers map[string]*Keeper

func (f fakePeers) Peers() []string {
	var names []string
	for n := range f {
		names = append(names, n)
	}
	return names
}
func (fakePeers) Flood(Revision) {}
func (f fakePeers) FetchFrom(_ context.Context, node string, from uint64) (Batch, error) {
	k, ok := f[node]
	if !ok {
		return Batch{}, errors.New("unreachable")
	}
	return k.BatchFrom(from)
}

func account(id string) Change {
	return Change{Kind: KindAccount, Op: Set, Account: &Account{ID: id, KeyHashes: []string{strings.Repeat("0", 64)}}}
}

func leave(vm string) Change {
	return Change{Kind: KindVM, Op: Set, VM: &VMIntent{VM: vm, Leaving: true}}
}

// filledLog returns a log with n revisions.
func filledLog(t *testing.T, n int) *fakeLog {
	f := newFakeLog()
	for i := 1; i <= n; i++ {
		data, err := EncodeRevision(Revision{N: uint64(i), PlanID: fmt.Sprint("p", i), Changes: []Change{account("a")}})
		if err != nil {
			t.Fatal(err)
		}
		f.entries[uint64(i)] = LogEntry{N: uint64(i), ID: fmt.Sprint("p", i), Data: data}
	}
	return f
}
