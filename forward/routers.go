package forward

import "wigeondale/peer"

// Candidates returns, of the members of a mesh, the other routers that may take requests of a
// service, and how many routers of this router's failure domain, with itself, are cut off from it.
// cutOff reports whether a router says that it is cut off from the service.
func Candidates(members []peer.Member, domain string, cutOff func(router string) bool) (reaching []Router, cutOffInDomain int) {
	cutOffInDomain = 1
	for _, m := range members {
		switch {
		case m.Self:
		case cutOff(m.ID):
			if m.FailureDomain == domain {
				cutOffInDomain++
			}
		case m.Alive && !m.Suspect && !m.Leaving:
			reaching = append(reaching, Router{ID: m.ID, Addr: m.Addr, FailureDomain: m.FailureDomain})
		}
	}
	return reaching, cutOffInDomain
}
