package daemon

import (
	"context"
	"errors"
	"testing"

	"wigeondale/generation"
	"wigeondale/kvlog/kvtest"
	"wigeondale/once"
)

// soleOwner owns every shard.
type soleOwner struct{}

func (soleOwner) Owner(int) (string, bool) { return "n1", true }

func (soleOwner) Forward(context.Context, string, once.Batch) (once.BatchResult, error) {
	return once.BatchResult{}, errors.New("no other router to forward to")
}

// A request that uses a key again with a different body must be refused because the key was
// reused, not because the claims are unavailable. Otherwise the response tells the caller
// to retry, and the caller retries for ever.
func TestReusedKeyIsNoOutage(t *testing.T) {
	c := claims{once.New(once.Config{Node: "n1", Incarnation: "i", KV: kvtest.New(), Prefix: "c/", Shards: 1}, soleOwner{})}
	ctx := context.Background()
	if ok, err := c.Claim(ctx, "a", "k", [16]byte{1}, "first"); !ok || err != nil {
		t.Fatalf("first claim: %v, %v", ok, err)
	}
	ok, err := c.Claim(ctx, "a", "k", [16]byte{2}, "second")
	refused, is := errors.AsType[*generation.Unavailable](err)
	if ok || !is || refused.Code != generation.CodeKeyReused || refused.Retryable {
		t.Errorf("another body: %v, %v", ok, err)
	}
	if !errors.Is(err, once.ErrKeyReused) {
		t.Errorf("%v hides its cause", err)
	}
}
