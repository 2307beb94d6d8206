package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/once"
	"wigeondale/peer"
)

const testPeerKey = "0123456789abcdef"

// meshes runs n linked meshes on loopback; set registers calls before they run.
func meshes(t testing.TB, n int, set func(i int, m *peer.Mesh)) []*peer.Mesh {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var out []*peer.Mesh
	seed := ""
	linked := make(chan struct{}, n*n)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			seed = l.Addr().String()
		}
		m, err := peer.New(peer.Config{ID: "n" + strconv.Itoa(i), Addr: l.Addr().String(), FailureDomain: "d", Seeds: []string{seed}}, []byte(testPeerKey), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		set(i, m)
		m.OnLink(func(string) { linked <- struct{}{} })
		srv := &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
		running.Go(func() { _ = srv.Serve(l) })
		running.Go(func() { _ = m.Run(ctx) })
		t.Cleanup(func() { _ = srv.Close() })
		out = append(out, m)
	}
	t.Cleanup(func() { cancel() })
	for range n * (n - 1) { // each end of each link tells it
		<-linked
	}
	return out
}

// keyAt is a key that the two routers other than n0 remember.
func keyAt(m *peer.Mesh) string {
	for i := 0; ; i++ {
		key := strconv.Itoa(i)
		id := once.NewKeyID("acme", key)
		holders := peer.Rendezvous(string(id[:]), living(m.Members()), pointerCopies)
		if !holders[0].Self && !holders[1].Self {
			return key
		}
	}
}

// Symptom: a new request waits for two round trips before it is dispatched.
// Sequence: each of the two holders answers only once both have been asked.
// Cause: the second was asked after the first had answered.
func TestPointersAskHoldersAtOnce(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	var p *pointers
	all := meshes(t, 3, func(i int, m *peer.Mesh) {
		if i == 0 {
			p = newPointers(m, "n0")
			return
		}
		peer.HandleCall(m, callGetPointer, func(_ context.Context, _ string, v pointer) (pointer, error) {
			both.Done()
			both.Wait()
			return pointer{Key: v.Key, Node: "n2", Known: true}, nil
		})
	})
	p.wait = 5 * time.Second
	if node, _, ok := p.Locate(t.Context(), "acme", keyAt(all[0])); !ok || node != "n2" {
		t.Fatalf("found %q, %v", node, ok)
	}
}

// Symptom: while links are cut, each new request waits for the whole bound of
// the look-up.
// Sequence: one holder answers nothing, the other knows the key or not.
// Cause: who did not answer, or is suspect, was asked again by each request.
func TestPointersLeaveSilentHolders(t *testing.T) {
	var asked atomic.Int32
	var p, other *pointers
	all := meshes(t, 3, func(i int, m *peer.Mesh) {
		switch i {
		case 0:
			p = newPointers(m, "n0")
		case 1:
			peer.HandleCall(m, callGetPointer, func(ctx context.Context, _ string, _ pointer) (pointer, error) {
				asked.Add(1)
				<-ctx.Done()
				return pointer{}, ctx.Err()
			})
		default:
			other = newPointers(m, "n2")
		}
	})
	p.wait = 200 * time.Millisecond // the call has to reach n1 in it
	key := keyAt(all[0])
	for range pointerMisses + 2 {
		if _, _, ok := p.Locate(t.Context(), "acme", key); ok {
			t.Fatal("found a key that runs nowhere")
		}
	}
	if asked.Load() != pointerMisses {
		t.Errorf("a holder that does not answer was asked %d times", asked.Load())
	}
	other.Announce("acme", key, [16]byte{7})
	if node, body, ok := p.Locate(t.Context(), "acme", key); !ok || node != "n2" || body != [16]byte{7} {
		t.Errorf("a key that runs at n2 is not found there: %q, %v", node, ok)
	}
	now := time.Now()
	holders := []peer.Member{{ID: "n0", Self: true}, {ID: "n1"}, {ID: "n2"}, {ID: "n3", Suspect: true}}
	if left := p.answering(holders, now); len(left) != 2 || left[1].ID != "n2" {
		t.Errorf("asked are %+v, want n0 and n2", left)
	}
	if left := p.answering(holders, now.Add(2*pointerBackoff)); len(left) != 3 {
		t.Errorf("asked after the rest are %+v, want all but n3", left)
	}
}

// BenchmarkPointerLookup measures what a new request waits before its dispatch:
// with both holders linked, and with one that answers nothing.
func BenchmarkPointerLookup(b *testing.B) {
	for _, state := range []string{"whole", "cut"} {
		b.Run(state, func(b *testing.B) {
			var p *pointers
			all := meshes(b, 3, func(i int, m *peer.Mesh) {
				if i == 1 && state == "cut" {
					peer.HandleCall(m, callGetPointer, func(ctx context.Context, _ string, _ pointer) (pointer, error) {
						<-ctx.Done()
						return pointer{}, ctx.Err()
					})
					return
				}
				if q := newPointers(m, "n"+strconv.Itoa(i)); i == 0 {
					p = q
				}
			})
			key := keyAt(all[0])
			for b.Loop() {
				p.Locate(b.Context(), "acme", key)
			}
		})
	}
}
