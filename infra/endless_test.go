package infra

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/fakes/endless"
	"wigeondale/fleet"
)

// Guards against a service of the platform that answers a call with bytes without end: memory grows
// with them, or the call never returns. A read must fail as unavailable, and a write as of unknown
// outcome. On 8472d66 it fails at heads at full speed (10 MB are read), at bodies at full speed
// (64 MB are read of what is no JSON) and at a switched protocol, which is read for good.
func TestServicesWithoutEnd(t *testing.T) {
	const timeout = 300 * time.Millisecond
	ref := fleet.ModelRef{Model: "m", Version: "v"}
	calls := map[string]func(ctx context.Context, url string) error{
		"range": func(ctx context.Context, url string) error {
			_, err := newKV(url, timeout).Range(ctx, "a", "b", 1)
			return err
		},
		"grant": func(ctx context.Context, url string) error {
			_, err := newKV(url, timeout).Grant(ctx, time.Second)
			return err
		},
		"list": func(ctx context.Context, url string) error {
			_, err := NewVMList(url, timeout, nil).List(ctx)
			return err
		},
		"size": func(ctx context.Context, url string) error {
			_, err := NewWeightStore(url, timeout, nil).Size(ctx, ref)
			return err
		},
	}
	for name, call := range calls {
		for _, kind := range slices.Concat(endless.Heads, endless.Bodies) {
			for _, a := range []endless.Answer{{Kind: kind}, {Kind: kind, Gap: time.Millisecond}, {Kind: kind, Status: 503}} {
				t.Run(name+" "+string(kind), func(t *testing.T) {
					t.Parallel()
					err := endless.Check(a, time.Second, 700<<10, func(_ context.Context, addr string) {
						err := call(context.Background(), "http://"+addr) // the call has a timeout of its own
						sized := name == "size" && kind == endless.Length && a.Status == 0
						if !sized && !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknownOutcome) {
							t.Errorf("got %v", err)
						}
						if name == "grant" && errors.Is(err, ErrUnavailable) {
							t.Errorf("the write may be applied, got %v", err)
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

// Guards against a watch message that never ends, whose bytes are kept until it does. On 8472d66 it
// fails: the message is kept for as long as it comes, and no error is reported.
func TestWatchMessageWithoutEnd(t *testing.T) {
	for _, body := range []string{"", `{"result":{"events":[{"type":"`} {
		a := endless.Answer{Kind: endless.Unframed, Body: body, Header: http.Header{"Content-Type": {"application/json"}}}
		err := endless.Check(a, time.Minute, 17<<20, func(ctx context.Context, addr string) {
			kv := newKV("http://"+addr, time.Second)
			kv.watcher.Transport.(bounded.Transport).DialContext = endless.Dial(256 << 10)
			events, err := kv.Watch(ctx, "p/", 0)
			if err != nil {
				t.Error(err)
				return
			}
			select {
			case e := <-events:
				if !errors.Is(e.Err, ErrUnavailable) {
					t.Errorf("got %v", e.Err)
				}
			case <-ctx.Done():
				t.Error("the watch goes on")
			}
		})
		if err != nil {
			t.Error(err)
		}
	}
}
