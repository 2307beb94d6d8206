package client

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/fakes/endless"
	"wigeondale/fleet"
)

// Guards against a router, or what stands at its address, that answers with bytes without end: the
// process of the caller would run out of memory. The request must not count as answered, nor as not
// run. On 8472d66 it fails at heads at full speed (10 MB for each try), at bodies of answers that
// aren't streamed and at an event of data lines, which have no bound at all, at comment lines, and at
// a switched protocol, which outlasts the deadline.
func TestRouterWithoutEnd(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *Client) (fleet.Outcome, error){
		"stream": func(ctx context.Context, c *Client) (fleet.Outcome, error) {
			res, err := c.Generate(ctx, Request{Model: "m", MaxTokens: 5}, nil)
			return res.Outcome, err
		},
		"whole": func(ctx context.Context, c *Client) (fleet.Outcome, error) {
			res, err := c.GenerateNonStreaming(ctx, Request{Model: "m", MaxTokens: 5})
			return res.Outcome, err
		},
		"call": func(ctx context.Context, c *Client) (fleet.Outcome, error) {
			res, err := c.Call(ctx, CallRequest{Service: "s", Path: "p", NonIdempotent: true})
			return res.Outcome, err
		},
	}
	for name, call := range calls {
		for _, kind := range endless.All {
			for _, gap := range []time.Duration{0, time.Millisecond} {
				t.Run(name+" "+string(kind)+" "+gap.String(), func(t *testing.T) {
					t.Parallel()
					most := int64(1 << 20)
					if name != "stream" && !slices.Contains(endless.Heads, kind) {
						most = 18 << 20 // the answer of a service may have 16 MB
					}
					opts := fastRetry()
					opts.MaxTries = 1
					err := endless.Check(endless.Answer{Kind: kind, Gap: gap}, 300*time.Millisecond, most, func(ctx context.Context, addr string) {
						c := New([]string{"http://" + addr}, "k", opts)
						c.opts.HTTP.Transport.(bounded.Transport).DialContext = endless.Dial(16 << 10)
						outcome, err := call(ctx, c)
						if err == nil || outcome == fleet.Complete || outcome == fleet.NotRun || errors.Is(err, ErrNoEndpoint) {
							t.Errorf("got outcome %q, %v", outcome, err)
						}
					})
					if err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// Guards against an event that is refused although the router may send it: a chunk of 128 KB whose bytes
// are all escaped.
func TestLargestEventIsRead(t *testing.T) {
	data := strings.Repeat(`\u0001`, 128<<10)
	e, err := newSSEReader(strings.NewReader("data: " + data + "\n\n")).next()
	if err != nil || len(e.data) != len(data) {
		t.Errorf("got %v", err)
	}
}
