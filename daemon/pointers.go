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
	// pointerCopies is how many routers remember where a key runs.
	pointerCopies = 2
	// pointerLife bounds how long a pointer is believed without renewal.
	pointerLife = 10 * time.Minute
	// pointerWait bounds the look-up, which each new request waits for. An answer
	// takes about a millisecond between failure domains.
	pointerWait = 25 * time.Millisecond
	// pointerMisses is how many look-ups in a row a router leaves without answer
	// before it is not asked for pointerBackoff: one late answer is no cut link.
	pointerMisses  = 2
	pointerBackoff = time.Second
	// maxPointers bounds the memory for other routers' keys; about 100 B each.
	maxPointers = 100_000
)

// errNoAnswer ends the wait for routers that would remember a key.
var errNoAnswer = Error.New("no answer in time")

// pointer says which router runs a key.
type pointer struct {
	Key   once.KeyID `cbor:"1,keyasint"`
	Node  string     `cbor:"2,keyasint"`
	Body  [16]byte   `cbor:"3,keyasint"`
	Drop  bool       `cbor:"4,keyasint,omitempty"`
	Known bool       `cbor:"5,keyasint,omitempty"`
}

type heldPointer struct {
	pointer
	until time.Time
}

// missedAnswers is how often in a row a router did not answer, and until when it is
// therefore not asked.
type missedAnswers struct {
	misses int
	until  time.Time
}

// pointers tells other routers which keys run here, through two routers chosen
// by rendezvous hash. They save work and guarantee nothing: what must run at
// most once is claimed in the log.
type pointers struct {
	mesh *peer.Mesh
	self string
	wait time.Duration // for the answers to one look-up

	mu     sync.Mutex
	held   map[once.KeyID]heldPointer
	missed map[string]missedAnswers // routers that did not answer
}

func newPointers(mesh *peer.Mesh, self string) *pointers {
	p := &pointers{mesh: mesh, self: self, wait: pointerWait, held: make(map[once.KeyID]heldPointer), missed: make(map[string]missedAnswers)}
	peer.HandleCall(mesh, callSetPointer, func(_ context.Context, _ string, v pointer) (pointer, error) {
		p.keep(v, time.Now())
		return pointer{}, nil
	})
	peer.HandleCall(mesh, callGetPointer, func(_ context.Context, _ string, v pointer) (pointer, error) {
		return p.find(v.Key, time.Now()), nil
	})
	return p
}

func (p *pointers) keep(v pointer, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Drop {
		if p.held[v.Key].Node == v.Node {
			delete(p.held, v.Key)
		}
		return
	}
	if len(p.held) >= maxPointers {
		p.expire(now)
	}
	if len(p.held) >= maxPointers {
		return
	}
	p.held[v.Key] = heldPointer{v, now.Add(pointerLife)}
}

func (p *pointers) expire(now time.Time) {
	for k, h := range p.held {
		if now.After(h.until) {
			delete(p.held, k)
		}
	}
}

func (p *pointers) find(key once.KeyID, now time.Time) pointer {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.held[key]
	if !ok || now.After(h.until) {
		return pointer{}
	}
	h.Known = true
	return h.pointer
}

// Locate asks the routers that would remember the key, all at once. Only a node
// that is still believed alive counts: the caller of a dead router must not be
// turned away.
//
// What goes wrong otherwise: while links are cut and not yet given up, each new
// request waits for the whole bound, once for each holder. So holders that are
// suspect are not asked, nor for a while those that did not answer lately.
func (p *pointers) Locate(ctx context.Context, account, key string) (string, [16]byte, bool) {
	id := once.NewKeyID(account, key)
	members := living(p.mesh.Members())
	holders := p.answering(peer.Rendezvous(string(id[:]), members, pointerCopies), time.Now())
	if len(holders) == 0 {
		return "", [16]byte{}, false
	}
	ctx, cancel := context.WithTimeoutCause(ctx, p.wait, errNoAnswer)
	defer cancel()
	answers := make(chan pointer, len(holders))
	for _, m := range holders {
		go func() { answers <- p.ask(ctx, m, id) }()
	}
	for range holders {
		v := <-answers
		if v.Known && v.Node != p.self && isAlive(members, v.Node) {
			return v.Node, v.Body, true
		}
	}
	return "", [16]byte{}, false
}

// answering leaves out those of whom no answer is to be expected in time.
func (p *pointers) answering(holders []peer.Member, now time.Time) []peer.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]peer.Member, 0, len(holders))
	for _, m := range holders {
		if m.Self || !m.Suspect && now.After(p.missed[m.ID].until) {
			out = append(out, m)
		}
	}
	return out
}

func (p *pointers) ask(ctx context.Context, m peer.Member, id once.KeyID) pointer {
	if m.Self {
		return p.find(id, time.Now())
	}
	// Unreachable counts as not known: the pointer only saves work.
	v, err := peer.Call[pointer, pointer](ctx, p.mesh, m.ID, callGetPointer, pointer{Key: id})
	p.heard(m.ID, err, context.Cause(ctx))
	return v
}

// heard notes whether a router answered. A look-up that ended early, since its
// caller left or the other holder answered, says nothing of it.
func (p *pointers) heard(node string, err, ended error) {
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
	if s.misses >= pointerMisses {
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

// Announce says that the key runs here.
func (p *pointers) Announce(account, key string, body [16]byte) {
	p.send(pointer{Key: once.NewKeyID(account, key), Node: p.self, Body: body})
}

// Drop says that the key no longer runs here.
func (p *pointers) Drop(account, key string) {
	p.send(pointer{Key: once.NewKeyID(account, key), Node: p.self, Drop: true})
}

func (p *pointers) send(v pointer) {
	for _, m := range peer.Rendezvous(string(v.Key[:]), living(p.mesh.Members()), pointerCopies) {
		if m.Self {
			p.keep(v, time.Now())
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = peer.Call[pointer, pointer](ctx, p.mesh, m.ID, callSetPointer, v)
		}()
	}
}
