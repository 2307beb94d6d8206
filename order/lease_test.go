package order

import (
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fakes/kv"
	"wigeondale/infra"
)

// TestLeaseAgainstTheService guards against two routers that send orders at the same time.
// The key to which one router's lease is attached is deleted, a second router acquires
// the lease, and the first one renews its own. Renewing must check which router's lease
// the key belongs to, and the fencing number must grow.
func TestLeaseAgainstTheService(t *testing.T) {
	srv := kv.New("127.0.0.1:0")
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	store := infra.NewEtcdKV(infra.KVConfig{URL: "http://" + srv.Addr()}, metrics.NewSet())
	one, two := NewLease(store, "p/", "n1"), NewLease(store, "p/", "n2")
	ctx := t.Context()
	first, ok, err := one.Acquire(ctx, time.Minute)
	if !ok || err != nil {
		t.Fatalf("acquire = %v, %v", ok, err)
	}
	if _, ok, err := two.Acquire(ctx, time.Minute); ok || err != nil {
		t.Fatalf("acquire of a held lease = %v, %v", ok, err)
	}
	if err := one.Renew(ctx, first); err != nil {
		t.Fatal(err)
	}
	// The key is deleted but the lease still exists, as when an operator deletes the
	// key.
	if err := store.Delete(ctx, "p/"+LeaseKey); err != nil {
		t.Fatal(err)
	}
	second, ok, err := two.Acquire(ctx, time.Minute)
	if !ok || err != nil || second.Fence <= first.Fence {
		t.Fatalf("take-over = fence %d after %d, %v, %v", second.Fence, first.Fence, ok, err)
	}
	if err := one.Renew(ctx, first); !errors.Is(err, ErrLeaseLost) {
		t.Fatalf("renewal by the former holder = %v, want ErrLeaseLost", err)
	}
	if err := two.Release(ctx, second); err != nil {
		t.Fatal(err)
	}
	if _, ok, err := one.Acquire(ctx, time.Minute); !ok || err != nil {
		t.Fatalf("acquire after a release = %v, %v", ok, err)
	}
}
