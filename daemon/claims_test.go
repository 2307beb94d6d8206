package daemon

import (
	"context"
	"errors"
	"testing"

	"wigeondale/generation"
	"wigeondale/kvlog/kvtest"
	"wigeondale/once"
)

// alone owns every shard.
type alone struct{}

func (alone) Owner(int) (string, bool) { return "n1", true }

func (alone) Forward(context.Context, string, once.Batch) (once.BatchResult, error) {
	return once.BatchResult{}, errors.New("nobody to forward to")
}

// Symptom: a caller that used a key twice, with different bodies, is told to
// come back, and does so for ever.
// Sequence: a marked generation claims a key; another router gets the key again
// with another body.
// Cause: the mismatch passed as if the claims could not be reached.
func TestReusedKeyIsNoOutage(t *testing.T) {
	c := claims{once.New(once.Config{Node: "n1", Incarnation: "i", KV: kvtest.New(), Prefix: "c/", Shards: 1}, alone{})}
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
