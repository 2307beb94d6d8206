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

	"wigeondale/kvlog"
	"wigeondale/kvlog/kvtest"
)

// world runs appenders against a bench under a schedule of drawn numbers and
// keeps the history that the store itself saw.
type world struct {
	bench    *kvtest.Controller
	window   uint64
	logs     []*kvlog.Log
	busy     []bool
	born     []int                     // number of each appender's present process
	history  map[uint64]string         // id of the first entry ever at each position
	last     map[string]map[int]string // id -> process -> last answer
	problems []string
}

const (
	appenders = 3
	idCount   = 7
)

func newWorld(window uint64) *world {
	w := &world{
		bench: kvtest.NewController(), window: window, busy: make([]bool, appenders), born: make([]int, appenders),
		history: map[uint64]string{}, last: map[string]map[int]string{},
	}
	w.bench.Store.OnCreate = w.created
	for range appenders {
		w.logs = append(w.logs, w.newLog())
	}
	return w
}

func (w *world) newLog() *kvlog.Log {
	return kvlog.New(w.bench.Client(), "l/", kvlog.Options{Window: w.window, SettleTries: 2, SettleDelay: time.Millisecond, PageEntries: 3})
}

func (w *world) direct() *kvlog.Log {
	return kvlog.New(w.bench.Store, "l/", kvlog.Options{Window: w.window, PageEntries: 3})
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *world) created(key string, data []byte) {
	var n uint64
	if _, err := fmt.Sscanf(key, "l/e/%x", &n); err != nil {
		return
	}
	if _, again := w.history[n]; again {
		return // a late create at a truncated position; it must count for nobody
	}
	var r struct {
		ID string `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		w.problem("entry %d: %v", n, err)
	}
	for m, id := range w.history {
		if id == r.ID && n-m <= w.window {
			w.problem("id %s is at %d and at %d", id, m, n)
		}
	}
	if n > 1 && w.history[n-1] == "" {
		w.problem("entry %d without %d", n, n-1)
	}
	w.history[n] = r.ID
}

func (w *world) answer(actor int, id, what string) {
	if w.last[id] == nil {
		w.last[id] = map[int]string{}
	}
	w.last[id][w.born[actor]*appenders+actor] = what
}

func (w *world) start(actor int, id string, at uint64) {
	if w.busy[actor] {
		return
	}
	w.busy[actor] = true
	w.answer(actor, id, "under way")
	log := w.logs[actor]
	go func() {
		defer func() { w.busy[actor] = false }()
		var n uint64
		var err error
		won := true
		if at == 0 {
			n, err = log.Append(context.Background(), id, []byte(id))
		} else {
			var e kvlog.Entry
			won, e, err = log.AppendAt(context.Background(), at, id, []byte(id))
			n = e.N
			if err == nil && w.history[n] != e.ID {
				w.problem("AppendAt shows %s at %d, history has %s", e.ID, n, w.history[n])
			}
		}
		switch {
		case errors.Is(err, kvlog.ErrUnsettled), errors.Is(err, kvlog.ErrExpired):
			w.answer(actor, id, "open")
		case err != nil || !won:
			w.answer(actor, id, "not appended")
		case w.history[n] != id:
			w.problem("acknowledged %s at %d, history has %q", id, n, w.history[n])
		default:
			w.answer(actor, id, "appended")
		}
	}()
}

func (w *world) snapshot(actor int) {
	if w.busy[actor] {
		return
	}
	w.busy[actor] = true
	log := w.logs[actor]
	go func() {
		defer func() { w.busy[actor] = false }()
		head, err := log.Head(context.Background())
		if err != nil || head == 0 {
			return
		}
		_ = log.Snapshot(context.Background(), head, fmt.Append(nil, "state ", head))
	}()
}

// burst appends past the window and truncates while everyone else is paused.
func (w *world) burst() {
	log := w.direct()
	var n uint64
	for range 3 {
		n, _ = log.Append(context.Background(), fmt.Sprint("burst", len(w.history)), nil)
	}
	_ = log.Snapshot(context.Background(), n, fmt.Append(nil, "state ", n))
}

func (w *world) read(from uint64) {
	entries, err := w.direct().Read(context.Background(), from, 4)
	var gone *kvlog.TruncatedError
	if err != nil && !errors.As(err, &gone) {
		w.problem("read from %d: %v", from, err)
	}
	for i, e := range entries {
		if e.N != from+uint64(i) || w.history[e.N] != e.ID {
			w.problem("read %s at %d, history has %q", e.ID, e.N, w.history[e.N])
		}
	}
}

// step takes one move of the schedule.
func (w *world) step(m move) {
	head := uint64(len(w.history))
	actor := m.A % appenders
	id := fmt.Sprint("id", m.B%idCount)
	switch m.Kind {
	case 0:
		w.start(actor, id, 0)
	case 1:
		w.start(actor, id, 1+(head+uint64(m.C))%(head+2))
	case 2:
		w.snapshot(actor)
	case 3:
		w.bench.ApplyDelayed(m.A)
	case 4:
		w.read(1 + uint64(m.A)%(head+1))
	case 5:
		if !w.busy[actor] {
			w.logs[actor] = w.newLog() // the process died and its successor starts
			w.born[actor]++
		}
	case 6:
		w.burst()
	case 7, 8, 9, 10:
		w.bench.Release(m.A, kvtest.OK)
	default:
		w.bench.Release(m.A, kvtest.Fault(m.B%int(kvtest.FaultCount)))
	}
	time.Sleep(2 * time.Millisecond)
	synctest.Wait()
}

// finish lets everything end, then compares the log with the answers.
func (w *world) finish(landRest bool) {
	for landRest && w.bench.DelayedWrites() > 0 {
		w.bench.ApplyDelayed(0)
	}
	for w.bench.Blocked() > 0 {
		w.bench.Release(0, kvtest.OK)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
	}
	for w.bench.DelayedWrites() > 0 {
		w.bench.ApplyDelayed(0)
	}
	in := map[string]bool{}
	for _, id := range w.history {
		in[id] = true
	}
	for id, answers := range w.last {
		sum := ""
		for _, a := range answers {
			sum += a + ";"
		}
		if in[id] && strings.ReplaceAll(sum, "not appended;", "") == "" {
			w.problem("%s is in the log, its appenders were told %s", id, sum)
		}
		if !in[id] && strings.Contains(sum, ";appended") {
			w.problem("%s is not in the log, its appenders were told %s", id, sum)
		}
	}
	w.checkWhole()
}

func (w *world) checkWhole() {
	ctx := context.Background()
	upTo, data, ok, err := w.direct().LoadSnapshot(ctx)
	if err != nil || ok && string(data) != fmt.Sprint("state ", upTo) {
		w.problem("snapshot %d %q: %v", upTo, data, err)
	}
	for n := upTo + 1; n <= uint64(len(w.history)); n++ {
		w.read(n)
	}
	entries, err := w.direct().Read(ctx, upTo+1, 1000)
	if err != nil || uint64(len(entries)) != uint64(len(w.history))-upTo {
		w.problem("%d entries after the snapshot at %d of %d: %v", len(entries), upTo, len(w.history), err)
	}
}

type move struct{ Kind, A, B, C int }

func drawMoves(rt *rapid.T) []move {
	small := rapid.IntRange(0, 11)
	gen := rapid.Custom(func(rt *rapid.T) move {
		return move{rapid.IntRange(0, 16).Draw(rt, "kind"), small.Draw(rt, "a"), small.Draw(rt, "b"), rapid.IntRange(0, 3).Draw(rt, "c")}
	})
	return rapid.SliceOfN(gen, 10, 150).Draw(rt, "moves")
}

// Symptom: an entry is in the log twice, is lost after it was acknowledged, or
// is there after its appender was told that it is not.
// Sequence: appenders race for positions; answers are lost, writes land late,
// processes pause before or after their call takes effect or die; snapshots
// truncate under them.
// Cause: an appender moves past a position where its own create may still
// land, gives a final answer while it may, or trusts a truncated position.
func TestEveryEntryOnceInOneOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		moves := drawMoves(rt)
		window := rapid.SampledFrom([]uint64{2, 1000}).Draw(rt, "window")
		landRest := rapid.Bool().Draw(rt, "land rest early")
		var problems []string
		synctest.Test(t, func(*testing.T) {
			w := newWorld(window)
			for _, m := range moves {
				w.step(m)
			}
			w.finish(landRest)
			problems = w.problems
		})
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}
