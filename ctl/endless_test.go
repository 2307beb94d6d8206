package ctl

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"wigeondale/fakes/endless"
)

// Guards against a node whose administration interface answers without end: the command would take
// memory without bound or never return. On 8472d66 it fails at heads and bodies at full speed (10 and
// 64 MB) and at a switched protocol, which outlasts the timeout.
func TestNodeWithoutEnd(t *testing.T) {
	for _, kind := range slices.Concat(endless.Heads, endless.Bodies) {
		for _, a := range []endless.Answer{{Kind: kind}, {Kind: kind, Gap: time.Millisecond}, {Kind: kind, Status: 409}} {
			err := endless.Check(a, time.Second, 700<<10, func(_ context.Context, addr string) {
				c, err := newAdminClient(args{Admin: addr, Timeout: 300 * time.Millisecond}, func(string) string { return "" })
				if err == nil {
					err = c.call(context.Background(), "GET", "/admin/v1/nodes", nil, &struct{}{})
				}
				if !errors.Is(err, ErrUnreachable) {
					t.Errorf("%s: got %v", kind, err)
				}
			})
			if err != nil {
				t.Errorf("%s: %v", kind, err)
			}
		}
	}
}
