package kvlog_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"wigeondale/fakes/bubble"
	"wigeondale/kvlog"
	"wigeondale/kvlog/kvtest"
)

// harness runs appenders against a fake store in an order given by random numbers, and
// records the history that the store itself sees.
type harness struct {
	controller *kvtest.Controller
	window     uint64
	logs       []*kvlog.Log
	busy       []bool
	restarts   []int                     // number of restarts of each appender
	history    map[uint64]string         // id of the first entry created at each position
	last       map[string]map[int]string // id -> process -> last result
	problems   []string
}

const (
	appenders = 3
	idCount   = 7
)

func newHarness(window uint64) *harness {
	h := &harness{
		controller: kvtest.NewController(), window: window, busy: make([]bool, appenders), restarts: make([]int, appenders),
		history: map[uint64]string{}, last: map[string]map[int]string{},
	}
	h.controller.Store.OnCreate = h.recordCreate
	for range appenders {
		h.logs = append(h.logs, h.newLog())
	}
	return h
}

func (h *harness) newLog() *kvlog.Log {
	return kvlog.New(h.controller.Client(), "l/", kvlog.Options{Window: h.window, SettleTries: 2, SettleDelay: time.Millisecond, PageEntries: 3})
}

func (h *harness) directLog() *kvlog.Log {
	return kvlog.New(h.controller.Store, "l/", kvlog.Options{Window: h.window, PageEntries: 3})
}

func (h *harness) addProblem(format string, args ...any) {
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

func (h *harness) recordCreate(key string, data []byte) {
	var n uint64
	if _, err := fmt.Sscanf(key, "l/e/%x", &n); err != nil {
		return
	}
	if _, again := h.history[n]; again {
		return // a delayed create at a truncated position; no reader may use it
	}
	var r struct {
		ID string `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		h.addProblem("entry %d: %v", n, err)
	}
	for m, id := range h.history {
		if id == r.ID && n-m <= h.window {
			h.addProblem("id %s is at %d and at %d", id, m, n)
		}
	}
	if n > 1 && h.history[n-1] == "" {
		h.addProblem("entry %d without %d", n, n-1)
	}
	h.history[n] = r.ID
}

func (h *harness) recordResult(actor int, id, what string) {
	if h.last[id] == nil {
		h.last[id] = map[int]string{}
	}
	h.last[id][h.restarts[actor]*appenders+actor] = what
}

func (h *harness) startAppend(actor int, id string, at uint64) {
	if h.busy[actor] {
		return
	}
	h.busy[actor] = true
	h.recordResult(actor, id, "under way")
	log := h.logs[actor]
	go func() {
		defer func() { h.busy[actor] = false }()
		var n uint64
		var err error
		won := true
		if at == 0 {
			n, err = log.Append(context.Background(), id, []byte(id))
		} else {
			var e kvlog.Entry
			won, e, err = log.AppendAt(context.Background(), at, id, []byte(id))
			n = e.N
			if err == nil && h.history[n] != e.ID {
				h.addProblem("AppendAt shows %s at %d, history has %s", e.ID, n, h.history[n])
			}
		}
		switch {
		case errors.Is(err, kvlog.ErrUnsettled), errors.Is(err, kvlog.ErrExpired):
			h.recordResult(actor, id, "open")
		case err != nil || !won:
			h.recordResult(actor, id, "not appended")
		case h.history[n] != id:
			h.addProblem("acknowledged %s at %d, history has %q", id, n, h.history[n])
		default:
			h.recordResult(actor, id, "appended")
		}
	}()
}

func (h *harness) startSnapshot(actor int) {
	if h.busy[actor] {
		return
	}
	h.busy[actor] = true
	log := h.logs[actor]
	go func() {
		defer func() { h.busy[actor] = false }()
		head, err := log.Head(context.Background())
		if err != nil || head == 0 {
			return
		}
		_ = log.Snapshot(context.Background(), head, fmt.Append(nil, "state ", head))
	}()
}

// burst appends more entries than the test's small window holds, stores a snapshot and
// truncates the log, while all other processes are paused.
func (h *harness) burst() {
	log := h.directLog()
	var n uint64
	for range 3 {
		n, _ = log.Append(context.Background(), fmt.Sprint("burst", len(h.history)), nil)
	}
	_ = log.Snapshot(context.Background(), n, fmt.Append(nil, "state ", n))
}

func (h *harness) checkRead(from uint64) {
	entries, err := h.directLog().Read(context.Background(), from, 4)
	var truncated *kvlog.TruncatedError
	if err != nil && !errors.As(err, &truncated) {
		h.addProblem("read from %d: %v", from, err)
	}
	for i, e := range entries {
		if e.N != from+uint64(i) || h.history[e.N] != e.ID {
			h.addProblem("read %s at %d, history has %q", e.ID, e.N, h.history[e.N])
		}
	}
}

// step executes one action.
func (h *harness) step(m action) {
	head := uint64(len(h.history))
	actor := m.A % appenders
	id := fmt.Sprint("id", m.B%idCount)
	switch m.Kind {
	case 0:
		h.startAppend(actor, id, 0)
	case 1:
		h.startAppend(actor, id, 1+(head+uint64(m.C))%(head+2))
	case 2:
		h.startSnapshot(actor)
	case 3:
		h.controller.ApplyDelayed(m.A)
	case 4:
		h.checkRead(1 + uint64(m.A)%(head+1))
	case 5:
		if !h.busy[actor] {
			h.logs[actor] = h.newLog() // the process exits and a new one starts
			h.restarts[actor]++
		}
	case 6:
		h.burst()
	case 7, 8, 9, 10:
		h.controller.Release(m.A, kvtest.OK)
	default:
		h.controller.Release(m.A, kvtest.Fault(m.B%int(kvtest.FaultCount)))
	}
	time.Sleep(2 * time.Millisecond)
	synctest.Wait()
}

// finish completes all blocked calls and applies all delayed writes, then compares the log
// with the results that the appenders got. If applyDelayedFirst is true, the writes that are
// already delayed are applied before the blocked calls complete.
func (h *harness) finish(applyDelayedFirst bool) {
	for applyDelayedFirst && h.controller.DelayedWrites() > 0 {
		h.controller.ApplyDelayed(0)
	}
	for h.controller.Blocked() > 0 {
		h.controller.Release(0, kvtest.OK)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
	}
	for h.controller.DelayedWrites() > 0 {
		h.controller.ApplyDelayed(0)
	}
	inLog := map[string]bool{}
	for _, id := range h.history {
		inLog[id] = true
	}
	for id, answers := range h.last {
		sum := ""
		for _, a := range answers {
			sum += a + ";"
		}
		if inLog[id] && strings.ReplaceAll(sum, "not appended;", "") == "" {
			h.addProblem("%s is in the log, its appenders got %s", id, sum)
		}
		if !inLog[id] && strings.Contains(sum, ";appended") {
			h.addProblem("%s is not in the log, its appenders got %s", id, sum)
		}
	}
	h.checkComplete()
}

func (h *harness) checkComplete() {
	ctx := context.Background()
	upTo, data, ok, err := h.directLog().LoadSnapshot(ctx)
	if err != nil || ok && string(data) != fmt.Sprint("state ", upTo) {
		h.addProblem("snapshot %d %q: %v", upTo, data, err)
	}
	for n := upTo + 1; n <= uint64(len(h.history)); n++ {
		h.checkRead(n)
	}
	entries, err := h.directLog().Read(ctx, upTo+1, 1000)
	if err != nil || uint64(len(entries)) != uint64(len(h.history))-upTo {
		h.addProblem("%d entries after the snapshot at %d of %d: %v", len(entries), upTo, len(h.history), err)
	}
}

type action struct{ Kind, A, B, C int }

func drawActions(rt *rapid.T) []action {
	small := rapid.IntRange(0, 11)
	gen := rapid.Custom(func(rt *rapid.T) action {
		return action{rapid.IntRange(0, 16).Draw(rt, "kind"), small.Draw(rt, "a"), small.Draw(rt, "b"), rapid.IntRange(0, 3).Draw(rt, "c")}
	})
	return rapid.SliceOfN(gen, 10, 150).Draw(rt, "moves")
}

// TestEveryEntryOnceInOneOrder guards against an entry that is in the log twice, is missing
// after it was acknowledged, or is present after its appender got "not appended". Appenders
// race for positions. Meanwhile responses are lost, writes take effect late, and snapshots
// truncate the log. Processes exit, or pause before or after their call takes effect. There
// are two faults to detect. An appender moves past a position, or returns a final result,
// while its own create at that position may still take effect. Or an appender trusts a
// position that has been truncated.
func TestEveryEntryOnceInOneOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		window := rapid.SampledFrom([]uint64{2, 1000}).Draw(rt, "window")
		applyDelayedFirst := rapid.Bool().Draw(rt, "land rest early")
		var problems []string
		bubble.Test(t, func(*testing.T) {
			h := newHarness(window)
			for _, m := range actions {
				h.step(m)
			}
			h.finish(applyDelayedFirst)
			problems = h.problems
		})
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}
