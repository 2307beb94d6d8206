package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeondale/once"
	"wigeondale/peer"
)

const (
	callGetPointer = "pointer.get"
	callSetPointer = "pointer.set"
	// pointerCopies is the number of routers that store the pointer of a key, which names
	// the router on which the request with that key runs.
	pointerCopies = 2
	// pointerTTL is how long a pointer is valid without renewal.
	pointerTTL = 10 * time.Minute
	// pointerTimeout limits the lookup that delays each new request. An answer between
	// failure domains takes about a millisecond.
	pointerTimeout = 25 * time.Millisecond
	// maxPointerMisses is the number of consecutive lookups that a router may leave
	// unanswered before it is skipped for pointerBackoff. One slow answer does not mean that
	// the link is down.
	maxPointerMisses = 2
	pointerBackoff   = time.Second
	// maxPointers limits the number of pointers that are stored for other routers, of about
	// 100 bytes each. At the limit, a new pointer is not stored.
	maxPointers = 100_000
)

// errNoAnswer is the cause when the routers that store a key don't answer in time.
var errNoAnswer = Error.New("no answer in time")

// pointer names the router on which the request with a key runs.
type pointer struct {
	Key   once.KeyID `cbor:"1,keyasint"`
	Node  string     `cbor:"2,keyasint"`
	Body  [16]byte   `cbor:"3,keyasint"`
	Drop  bool       `cbor:"4,keyasint,omitempty"`
	Known bool       `cbor:"5,keyasint,omitempty"`
}

type storedPointer struct {
	pointer
	until time.Time
}

// missedAnswers counts the consecutive lookups that a router left unanswered, and stores
// the time until which that router is skipped because of them.
type missedAnswers struct {
	misses int
	until  time.Time
}

// pointers publishes which keys run on this router, by storing pointers at two routers that
// are chosen by rendezvous hash. The pointers save duplicate work but guarantee nothing:
// requests that must run at most once are claimed in the log.
type pointers struct {
	mesh    *peer.Mesh
	self    string
	timeout time.Duration // limits one lookup

	mu     sync.Mutex
	stored map[once.KeyID]storedPointer
	missed map[string]missedAnswers // routers that did not answer
}

func newPointers(mesh *peer.Mesh, self string) *pointers {
	p := &pointers{mesh: mesh, self: self, timeout: pointerTimeout, stored: make(map[once.KeyID]storedPointer), missed: make(map[string]missedAnswers)}
	peer.HandleCall(mesh, callSetPointer, func(_ context.Context, _ string, v pointer) (pointer, error) {
		p.store(v, time.Now())
		return pointer{}, nil
	})
	peer.HandleCall(mesh, callGetPointer, func(_ context.Context, _ string, v pointer) (pointer, error) {
		return p.find(v.Key, time.Now()), nil
	})
	return p
}

func (p *pointers) store(v pointer, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Drop {
		if p.stored[v.Key].Node == v.Node {
			delete(p.stored, v.Key)
		}
		return
	}
	if len(p.stored) >= maxPointers {
		p.expire(now)
	}
	if len(p.stored) >= maxPointers {
		return
	}
	p.stored[v.Key] = storedPointer{v, now.Add(pointerTTL)}
}

func (p *pointers) expire(now time.Time) {
	for k, h := range p.stored {
		if now.After(h.until) {
			delete(p.stored, k)
		}
	}
}

func (p *pointers) find(key once.KeyID, now time.Time) pointer {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.stored[key]
	if !ok || now.After(h.until) {
		return pointer{}
	}
	h.Known = true
	return h.pointer
}

// Locate queries the routers that store the key's pointer, all at once. It returns a node
// only if that node is still considered alive: a caller must not be turned away because its
// key ran on a router that is dead.
//
// Suspect routers, and for a while routers that did not answer recently, are not queried.
// Otherwise, while links are down and the failure is not yet detected, each new request
// whose key is stored at such a router would wait for the whole timeout.
func (p *pointers) Locate(ctx context.Context, account, key string) (string, [16]byte, bool) {
	id := once.NewKeyID(account, key)
	members := aliveMembers(p.mesh.Members())
	nodes := p.responsive(peer.Rendezvous(string(id[:]), members, pointerCopies), time.Now())
	if len(nodes) == 0 {
		return "", [16]byte{}, false
	}
	ctx, cancel := context.WithTimeoutCause(ctx, p.timeout, errNoAnswer)
	defer cancel()
	answers := make(chan pointer, len(nodes))
	for _, m := range nodes {
		go func() { answers <- p.query(ctx, m, id) }()
	}
	for range nodes {
		v := <-answers
		if v.Known && v.Node != p.self && isAlive(members, v.Node) {
			return v.Node, v.Body, true
		}
	}
	return "", [16]byte{}, false
}

// responsive leaves out the routers that are not expected to answer in time: those that are
// suspect, and those that are skipped because of missed answers. This router itself always
// stays in the list.
func (p *pointers) responsive(nodes []peer.Member, now time.Time) []peer.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]peer.Member, 0, len(nodes))
	for _, m := range nodes {
		if m.Self || !m.Suspect && now.After(p.missed[m.ID].until) {
			out = append(out, m)
		}
	}
	return out
}

func (p *pointers) query(ctx context.Context, m peer.Member, id once.KeyID) pointer {
	if m.Self {
		return p.find(id, time.Now())
	}
	// An unreachable router is treated like a router that has no pointer for the key. At
	// worst this costs duplicate work, since pointers only save work.
	v, err := peer.Call[pointer, pointer](ctx, p.mesh, m.ID, callGetPointer, pointer{Key: id})
	p.recordAnswer(m.ID, err, context.Cause(ctx))
	return v
}

// recordAnswer records whether a router answered. A lookup that ended early, because the
// caller disconnected or another router answered first, is not counted, since the router
// may still have answered in time.
func (p *pointers) recordAnswer(node string, err, ended error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		delete(p.missed, node)
		return
	}
	if ended != nil && !errors.Is(ended, errNoAnswer) {
		return
	}
	s := p.missed[node]
	s.misses++
	if s.misses >= maxPointerMisses {
		s.until = time.Now().Add(pointerBackoff)
	}
	p.missed[node] = s
}

func isAlive(members []peer.Member, node string) bool {
	for _, m := range members {
		if m.ID == node {
			return !m.Suspect
		}
	}
	return false
}

// Announce publishes that the key runs on this router.
func (p *pointers) Announce(account, key string, body [16]byte) {
	p.send(pointer{Key: once.NewKeyID(account, key), Node: p.self, Body: body})
}

// Drop publishes that the key no longer runs on this router.
func (p *pointers) Drop(account, key string) {
	p.send(pointer{Key: once.NewKeyID(account, key), Node: p.self, Drop: true})
}

func (p *pointers) send(v pointer) {
	for _, m := range peer.Rendezvous(string(v.Key[:]), aliveMembers(p.mesh.Members()), pointerCopies) {
		if m.Self {
			p.store(v, time.Now())
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = peer.Call[pointer, pointer](ctx, p.mesh, m.ID, callSetPointer, v)
		}()
	}
}
