package hosted

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/infra"
	"wigeondale/settings"
)

// countedRegistry counts the calls of a registration.
type countedRegistry struct {
	mu      sync.Mutex
	calls   map[string]int
	expired bool // the old lease has expired
}

func (c *countedRegistry) count(call string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call]++
}

func (c *countedRegistry) Create(context.Context, string, []byte) (bool, error) {
	c.count("create")
	return true, nil
}

func (c *countedRegistry) Put(context.Context, string, []byte, infra.Lease) error {
	c.count("put")
	return nil
}

func (c *countedRegistry) Grant(context.Context, time.Duration) (infra.Lease, error) {
	c.count("grant")
	return infra.Lease{ID: 9}, nil
}

func (c *countedRegistry) KeepAlive(_ context.Context, lease infra.Lease) error {
	c.count("keep")
	if c.expired && lease.ID != 9 {
		return errors.New("the lease has ended")
	}
	return nil
}

// A restart of all nodes must not write what is in the store already: otherwise such writes
// are most of the calls to the store. The store contains the key of the links, and the node's
// entry under a lease that is valid, has expired, or belongs to another address. A store that
// can't be read must not keep a node from registering.
func TestRestartRenewsItsEntry(t *testing.T) {
	for name, c := range map[string]struct {
		items []infra.Value
		ended bool
		want  map[string]int
	}{
		"the first start": {nil, false, map[string]int{"create": 1, "grant": 1, "put": 1}},
		"another was first": {[]infra.Value{{Key: peerKeyKey, Data: make([]byte, peerKeyBytes)}}, false,
			map[string]int{"grant": 1, "put": 1}},
		"its entry is there": {[]infra.Value{{Key: peerKeyKey, Data: make([]byte, peerKeyBytes)}, {Key: nodePrefix + "n", Data: []byte("10.0.0.1:7200"), Lease: 5}}, false,
			map[string]int{"keep": 1}},
		"its lease has ended": {[]infra.Value{{Key: peerKeyKey, Data: make([]byte, peerKeyBytes)}, {Key: nodePrefix + "n", Data: []byte("10.0.0.1:7200"), Lease: 5}}, true,
			map[string]int{"keep": 1, "grant": 1, "put": 1}},
		"it has moved": {[]infra.Value{{Key: peerKeyKey, Data: make([]byte, peerKeyBytes)}, {Key: nodePrefix + "n", Data: []byte("10.0.0.2:7200"), Lease: 5}}, false,
			map[string]int{"grant": 1, "put": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				pick := pickerOf(t, engineList(1, 1), 1)
				set := &settings.Settings{Node: settings.Node{ID: "n"}, Hosted: &settings.Hosted{PeerAddress: "10.0.0.1:7200"}}
				p := newPeers(set, nil, pick.dir, pick.mon, newStoreSync("n", "d", nil), nil)
				store := &countedRegistry{calls: map[string]int{}, expired: c.ended}
				p.reg.store = store
				go p.reg.run(ctx)
				for _, item := range c.items {
					p.put(item)
				}
				if c.items != nil {
					p.settled()
				}
				time.Sleep(readWait + keySpread)
				synctest.Wait()
				for call, want := range c.want {
					if store.calls[call] != want {
						t.Errorf("%s: %d times, want %d", call, store.calls[call], want)
					}
				}
				if len(store.calls) != len(c.want) {
					t.Errorf("called %v", store.calls)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
