package kvlog_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/kvlog"
	"wigeondale/kvlog/kvtest"
)

// Symptom: a node stays on an old entry although newer ones are in the log.
// Sequence: the node's watch ends, or stays open but tells nothing; entries are
// appended; the log is truncated past a node that slept.
// Cause: the follower trusts the watch alone, or skips what was truncated.
func TestFollowWithoutWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		log := kvlog.New(store, "l/", kvlog.Options{Window: 2, Poll: time.Second, PageEntries: 2})
		ctx, cancel := context.WithCancel(t.Context())
		var got atomic.Uint64
		ended := make(chan error, 1)
		go func() {
			ended <- log.Follow(ctx, 1, func(e kvlog.Entry) error {
				if !got.CompareAndSwap(e.N-1, e.N) {
					t.Errorf("%d after %d", e.N, got.Load())
				}
				return nil
			})
		}()
		synctest.Wait()
		appendSome := func(from, to int) {
			for i := from; i <= to; i++ {
				if _, err := log.Append(ctx, fmt.Sprint(i), nil); err != nil {
					t.Fatal(err)
				}
			}
		}
		appendSome(1, 3)
		synctest.Wait()
		if got.Load() != 3 {
			t.Errorf("by watch: %d", got.Load())
		}
		store.MuteWatches()
		appendSome(4, 6)
		time.Sleep(3 * time.Second)
		if got.Load() != 6 {
			t.Errorf("by poll beside a silent watch: %d", got.Load())
		}
		store.CloseWatches()
		appendSome(7, 7)
		time.Sleep(3 * time.Second)
		if got.Load() != 7 {
			t.Errorf("after a cut watch: %d", got.Load())
		}
		cancel()
		<-ended
		if err := log.Snapshot(t.Context(), 7, nil); err != nil {
			t.Error(err)
		}
		var gone *kvlog.TruncatedError
		err := log.Follow(t.Context(), 2, func(kvlog.Entry) error { return nil })
		if !errors.As(err, &gone) || gone.Floor != 6 || gone.UpTo != 7 {
			t.Error(err)
		}
	})
}

func TestSnapshotInChunks(t *testing.T) {
	store := kvtest.New()
	const limit = 1 << 20
	store.OnCreate = func(key string, data []byte) {
		if len(data) >= limit {
			t.Errorf("%s holds %d bytes", key, len(data))
		}
	}
	log := kvlog.New(store, "l/", kvlog.Options{})
	if _, err := log.Append(t.Context(), "a", nil); err != nil {
		t.Fatal(err)
	}
	data := bytes.Repeat([]byte("0123456789"), limit/4)
	if err := log.Snapshot(t.Context(), 1, data); err != nil {
		t.Fatal(err)
	}
	upTo, got, ok, err := log.LoadSnapshot(t.Context())
	if upTo != 1 || !ok || err != nil || !bytes.Equal(got, data) {
		t.Error(upTo, ok, err, len(got))
	}
	if err := log.Snapshot(t.Context(), 2, nil); !errors.Is(err, kvlog.ErrGap) {
		t.Error("snapshot beyond the end:", err)
	}
	if err := log.Snapshot(t.Context(), 1, nil); !errors.Is(err, kvlog.ErrStaleSnapshot) {
		t.Error("the same snapshot again:", err)
	}
}

// Symptom: an entry is in the log twice, or its appender is told that it isn't there.
// Sequence: an append's answer is lost; others append past the window; the
// appender's process reads on for another append, then asks for the first again.
// Cause: the id, once seen in the log, is forgotten with its window.
func TestLandedPastTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := kvtest.NewController()
		opts := kvlog.Options{Window: 2, SettleTries: 1}
		log := kvlog.New(bench.Client(), "l/", opts)
		others := kvlog.New(bench.Store, "l/", opts)
		appended := func(id string, faults ...kvtest.Fault) (n uint64, err error) {
			done := make(chan struct{})
			go func() {
				defer close(done)
				n, err = log.Append(t.Context(), id, nil)
			}()
			for synctest.Wait(); bench.Blocked() > 0; synctest.Wait() {
				f := kvtest.OK
				if len(faults) > 0 {
					f, faults = faults[0], faults[1:]
				}
				bench.Release(0, f)
			}
			<-done
			return n, err
		}
		if _, err := appended("a", kvtest.OK, kvtest.OK, kvtest.AnswerLost); !errors.Is(err, kvlog.ErrUnsettled) {
			t.Error(err)
		}
		for i := range 5 {
			if _, err := others.Append(t.Context(), fmt.Sprint(i), nil); err != nil {
				t.Error(err)
			}
		}
		if n, err := appended("b"); n != 7 || err != nil {
			t.Error(n, err)
		}
		if n, err := appended("a"); n != 1 || err != nil {
			t.Error("appended again:", n, err)
		}
	})
}
