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

// linkedMeshes runs n linked meshes on loopback. register adds the handlers of each mesh
// before it starts.
func linkedMeshes(t testing.TB, n int, register func(i int, m *peer.Mesh)) []*peer.Mesh {
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
		register(i, m)
		m.OnLink(func(string) { linked <- struct{}{} })
		srv := &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
		running.Go(func() { _ = srv.Serve(l) })
		running.Go(func() { _ = m.Run(ctx) })
		t.Cleanup(func() { _ = srv.Close() })
		out = append(out, m)
	}
	t.Cleanup(func() { cancel() })
	for range n * (n - 1) { // both ends of each link report the link
		<-linked
	}
	return out
}

// keyStoredRemotely returns a key whose pointer is stored at the two routers other than n0.
func keyStoredRemotely(m *peer.Mesh) string {
	for i := 0; ; i++ {
		key := strconv.Itoa(i)
		id := once.NewKeyID("acme", key)
		nodes := peer.Rendezvous(string(id[:]), aliveMembers(m.Members()), pointerCopies)
		if !nodes[0].Self && !nodes[1].Self {
			return key
		}
	}
}

// Both routers that store a pointer must be queried at the same time. When they were
// queried one after the other, a new request waited for two round trips. Here each of the
// two routers answers only after both have been queried.
func TestPointersAskHoldersAtOnce(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	var p *pointers
	all := linkedMeshes(t, 3, func(i int, m *peer.Mesh) {
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
	p.timeout = 5 * time.Second
	if node, _, ok := p.Locate(t.Context(), "acme", keyStoredRemotely(all[0])); !ok || node != "n2" {
		t.Fatalf("found %q, %v", node, ok)
	}
}

// A router that does not answer, or that is suspect, must not be queried again for each new
// request. Otherwise each new request waits for the whole timeout while links are cut.
func TestPointersLeaveSilentHolders(t *testing.T) {
	var queries atomic.Int32
	var p, p2 *pointers
	all := linkedMeshes(t, 3, func(i int, m *peer.Mesh) {
		switch i {
		case 0:
			p = newPointers(m, "n0")
		case 1:
			peer.HandleCall(m, callGetPointer, func(ctx context.Context, _ string, _ pointer) (pointer, error) {
				queries.Add(1)
				<-ctx.Done()
				return pointer{}, ctx.Err()
			})
		default:
			p2 = newPointers(m, "n2")
		}
	})
	p.timeout = 200 * time.Millisecond // long enough for the call to reach n1
	key := keyStoredRemotely(all[0])
	for range maxPointerMisses + 2 {
		if _, _, ok := p.Locate(t.Context(), "acme", key); ok {
			t.Fatal("found a key that runs nowhere")
		}
	}
	if queries.Load() != maxPointerMisses {
		t.Errorf("a router that does not answer was queried %d times", queries.Load())
	}
	p2.Announce("acme", key, [16]byte{7})
	if node, body, ok := p.Locate(t.Context(), "acme", key); !ok || node != "n2" || body != [16]byte{7} {
		t.Errorf("a key that runs at n2 is not found there: %q, %v", node, ok)
	}
	now := time.Now()
	nodes := []peer.Member{{ID: "n0", Self: true}, {ID: "n1"}, {ID: "n2"}, {ID: "n3", Suspect: true}}
	if queried := p.responsive(nodes, now); len(queried) != 2 || queried[1].ID != "n2" {
		t.Errorf("queried are %+v, want n0 and n2", queried)
	}
	if queried := p.responsive(nodes, now.Add(2*pointerBackoff)); len(queried) != 3 {
		t.Errorf("queried after the backoff are %+v, want all but n3", queried)
	}
}

// BenchmarkPointerLookup measures how long a lookup delays a new request: with both
// routers linked, and with one that does not answer.
func BenchmarkPointerLookup(b *testing.B) {
	for _, state := range []string{"whole", "cut"} {
		b.Run(state, func(b *testing.B) {
			var p *pointers
			all := linkedMeshes(b, 3, func(i int, m *peer.Mesh) {
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
			key := keyStoredRemotely(all[0])
			for b.Loop() {
				p.Locate(b.Context(), "acme", key)
			}
		})
	}
}
