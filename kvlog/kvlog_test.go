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
		store.CutWatches()
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
