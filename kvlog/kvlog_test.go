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

	"wigeondale/fakes/bubble"
	"wigeondale/kvlog"
	"wigeondale/kvlog/kvtest"
)

// TestFollowWithoutWatch guards against a follower that stays at an old entry while the log
// has newer ones. In one case the watch closes or stays open and delivers nothing: a follower
// that relies on the watch alone misses newer entries. In another case the log is truncated
// beyond the position at which a follower that was not running starts again: Follow must
// return a *TruncatedError, because a follower that skips truncated entries misses them.
func TestFollowWithoutWatch(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		store := kvtest.New()
		log := kvlog.New(store, "l/", kvlog.Options{Window: 2, Poll: time.Second, PageEntries: 2})
		ctx, cancel := context.WithCancel(t.Context())
		var got atomic.Uint64
		followErr := make(chan error, 1)
		go func() {
			followErr <- log.Follow(ctx, 1, func(e kvlog.Entry) error {
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
			t.Errorf("by poll while the watch is silent: %d", got.Load())
		}
		store.CloseWatches()
		appendSome(7, 7)
		time.Sleep(3 * time.Second)
		if got.Load() != 7 {
			t.Errorf("after a cut watch: %d", got.Load())
		}
		cancel()
		<-followErr
		if err := log.Snapshot(t.Context(), 7, nil); err != nil {
			t.Error(err)
		}
		var truncated *kvlog.TruncatedError
		err := log.Follow(t.Context(), 2, func(kvlog.Entry) error { return nil })
		if !errors.As(err, &truncated) || truncated.Floor != 6 || truncated.UpTo != 7 {
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

// TestLandedPastTheWindow guards against an entry that is in the log twice, or is reported
// as not appended although it is in the log. The response to the append of a first id is
// lost. Other processes then append more entries than the window has ids. The appender reads
// all of these entries while it appends a second id, and sees the first id among them. Then
// it calls Append for the first id again. The appender must still know the first id's
// position, although the first id is outside the window by then.
func TestLandedPastTheWindow(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		controller := kvtest.NewController()
		opts := kvlog.Options{Window: 2, SettleTries: 1}
		log := kvlog.New(controller.Client(), "l/", opts)
		otherLog := kvlog.New(controller.Store, "l/", opts)
		appendWith := func(id string, faults ...kvtest.Fault) (n uint64, err error) {
			done := make(chan struct{})
			go func() {
				defer close(done)
				n, err = log.Append(t.Context(), id, nil)
			}()
			for synctest.Wait(); controller.Blocked() > 0; synctest.Wait() {
				f := kvtest.OK
				if len(faults) > 0 {
					f, faults = faults[0], faults[1:]
				}
				controller.Release(0, f)
			}
			<-done
			return n, err
		}
		if _, err := appendWith("a", kvtest.OK, kvtest.OK, kvtest.AnswerLost); !errors.Is(err, kvlog.ErrUnsettled) {
			t.Error(err)
		}
		for i := range 5 {
			if _, err := otherLog.Append(t.Context(), fmt.Sprint(i), nil); err != nil {
				t.Error(err)
			}
		}
		if n, err := appendWith("b"); n != 7 || err != nil {
			t.Error(n, err)
		}
		if n, err := appendWith("a"); n != 1 || err != nil {
			t.Error("appended again:", n, err)
		}
	})
}
