package intent_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fakes/kv"
	"wigeondale/infra"
	"wigeondale/intent"
	"wigeondale/kvlog"
)

type noPeers struct{}

func (noPeers) Peers() []string       { return nil }
func (noPeers) Flood(intent.Revision) {}
func (noPeers) FetchFrom(context.Context, string, uint64) (intent.Batch, error) {
	return intent.Batch{}, errors.New("no peer")
}

func newNode(srv *kv.Server) (*intent.Keeper, intent.Log) {
	set := metrics.NewSet()
	store := infra.NewEtcdKV(infra.KVConfig{URL: "http://" + srv.Addr()}, set)
	log := intent.NewLog(kvlog.New(store, "config/", kvlog.Options{Window: 4, Metrics: set}))
	return intent.NewKeeper(intent.Config{Log: log, PeerClient: noPeers{}}), log
}

func planFor(t *testing.T, k *intent.Keeper, vm string) intent.Plan {
	t.Helper()
	c := intent.Change{Kind: intent.KindVM, Op: intent.Set, VM: &intent.VMIntent{VM: vm, Leaving: true}}
	p := intent.MakePlan(k.State(), intent.FleetView{}, "op", vm, intent.Intents{Changes: []intent.Change{c}})
	if p.Refused() {
		t.Fatal(p.Conflicts)
	}
	return p
}

// TestAgainstTheService guards against a plan that is accepted twice or reported as failed
// when the service loses responses, and against a new node that can't start once old
// entries are deleted. With the fake service, writes are applied and their responses lost,
// the plan is confirmed at a second node too, and then a snapshot replaces old entries.
// Nodes must read the log back and start from the snapshot.
func TestAgainstTheService(t *testing.T) {
	srv := kv.New("127.0.0.1:0")
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	one, log := newNode(srv)
	two, _ := newNode(srv)
	lateNode, _ := newNode(srv)
	one.Sync(ctx)
	var at20 *intent.State
	one.Subscribe(func(s *intent.State) {
		if s.Revision == 20 {
			at20 = s
		}
	})
	p := planFor(t, one, "vm-0")
	if err := srv.Fault("lose-answers", json.RawMessage(`{"n":2}`)); err != nil {
		t.Fatal(err)
	}
	for _, k := range []*intent.Keeper{one, two} {
		rev, err := k.Confirm(ctx, p)
		if err != nil || rev.N != 1 {
			t.Fatalf("confirm = revision %d, %v; want 1", rev.N, err)
		}
	}
	lateNode.Sync(ctx)
	done := make(chan error)
	reached := make(chan struct{})
	two.Subscribe(func(s *intent.State) {
		if s.Revision == 24 {
			close(reached)
		}
	})
	go func() { done <- two.Run(ctx) }()
	for i := 1; i < 24; i++ {
		if _, err := one.Confirm(ctx, planFor(t, one, fmt.Sprint("vm-", i))); err != nil {
			t.Fatal(err)
		}
	}
	<-reached // through its watch
	data, err := intent.EncodeState(at20)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Snapshot(ctx, 20, data); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Read(ctx, 2, 1); !errors.Is(err, intent.ErrTruncated) {
		t.Fatalf("reading an entry below the snapshot = %v, want ErrTruncated", err)
	}
	three, _ := newNode(srv)
	for name, k := range map[string]*intent.Keeper{"new": three, "late": lateNode} {
		if !k.Sync(ctx) || k.State().Revision != 24 || !k.State().Leaving("vm-0") {
			t.Fatalf("the %s node is at revision %d, want 24 with all VMs", name, k.State().Revision)
		}
	}
	if err := srv.Fault("outage", json.RawMessage(`{"on":true}`)); err != nil {
		t.Fatal(err)
	}
	_, err = three.Confirm(ctx, planFor(t, three, strings.Repeat("x", 9)))
	if !errors.Is(err, intent.ErrUnavailable) {
		t.Fatalf("confirm during an outage = %v, want ErrUnavailable", err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
