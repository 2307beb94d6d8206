package hosted

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/peer"
	"wigeondale/routing"
)

// readsStore reports whether this node reads the store itself: it is a reader of its failure
// domain, or its copy is stale.
func (n *storeSync) readsStore() bool {
	now := time.Now()
	return n.age(now) > staleAfter || n.isReader()
}

// isReader reports whether this node is one of the nodes whose task it is to read the store
// for their failure domain. A node that will never have links is a reader.
//
// A node that has just started knows few other members. If each node of a large fleet
// followed all changes of the store until its links were up, the store's network link would
// be saturated when all nodes start, and the links would come up late.
func (n *storeSync) isReader() bool {
	n.mu.Lock()
	mesh, joinedAt := n.mesh, n.joinedAt
	n.mu.Unlock()
	others := n.expectedLinks()
	if mesh == nil {
		return others == 0
	}
	if others >= 2*mesh.AliveMembers() && time.Since(joinedAt) < membersSettle {
		return false
	}
	n.mu.Lock()
	role := n.role
	if role == roleUnknown {
		n.role = roleOther // a change of the membership from now on resets it
	}
	n.mu.Unlock()
	if role == roleUnknown {
		return n.decideRole(mesh)
	}
	return role == roleReader
}

// decideRole compares this node with the other members of its failure domain, and reports
// whether it is a reader.
func (n *storeSync) decideRole(mesh *peer.Mesh) bool {
	if n.aheadInDomain(mesh) >= readersPerDomain {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == roleOther {
		n.role = roleReader
	}
	return true
}

// aheadInDomain returns how many other members of this node's failure domain come before it in an order that all nodes agree on.
func (n *storeSync) aheadInDomain(mesh *peer.Mesh) (ahead int) {
	key := xxhash.Sum64String(n.domain)
	localWeight := routing.Rendezvous(key, n.id)
	for _, m := range mesh.Members() {
		if !m.Self && m.Alive && !m.Suspect && !m.Leaving && m.FailureDomain == n.domain && routing.Rendezvous(key, m.ID) > localWeight {
			ahead++
		}
	}
	return ahead
}
