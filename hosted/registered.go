package hosted

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/quarantine"
	"wigeondale/routing"
)

// This file answers what a node that starts knows of the other nodes from their entries in the
// store.

// unregistered is the rank of a node that was not registered when it started.
const unregistered = -1

// expectedLinks returns to how many other nodes this node could have links: to none while the
// key with which links authenticate is unknown.
func (p *peers) expectedLinks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key == nil {
		return 0
	}
	others := len(p.addrs)
	if _, registered := p.addrs[p.set.Node.ID]; registered {
		others--
	}
	return others
}

// aloneAfter is how long a node that finds only itself in the store looks for others.
const aloneAfter = 300 * time.Millisecond

// needed reports whether this node has to find other nodes: it knows none, or not the key of
// the links, and has not been alone in the store for aloneAfter.
func (p *peers) needed() bool {
	if p.expectedLinks() > 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listedAt.IsZero() || time.Since(p.listedAt) < aloneAfter
}

// startRank returns the rank that this node had among the registered nodes when it started,
// and false if it was not registered.
func (p *peers) startRank() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rankAtStart, p.rankAtStart != unregistered
}

// rankAmongRegistered returns how many registered nodes come before this node in an order that
// all nodes agree on, or unregistered. The caller holds p.mu.
func (p *peers) rankAmongRegistered() int {
	if p.localEntry.Key == "" {
		return unregistered
	}
	key := xxhash.Sum64String(nodePrefix)
	local, rank := routing.Rendezvous(key, p.set.Node.ID), 0
	for id := range p.addrs {
		if routing.Rendezvous(key, id) > local {
			rank++
		}
	}
	return rank
}

// rankFor returns how many other registered nodes come before this node in an order that a digest decides.
func (p *peers) rankFor(d quarantine.Digest) (rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := xxhash.Sum64(d[:])
	local := routing.Rendezvous(key, p.set.Node.ID)
	for id := range p.addrs {
		if id != p.set.Node.ID && routing.Rendezvous(key, id) > local {
			rank++
		}
	}
	return rank
}

// registeredNodes returns the number of registered nodes, including this node.
func (p *peers) registeredNodes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.addrs), 1)
}
