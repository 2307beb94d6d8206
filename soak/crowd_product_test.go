//go:build !race

package soak

import (
	"testing"

	"wigeondale/fakes/crowd"
)

// checkProductCrowd checks a router on the product's own interface under a crowd at its caller listener.
func checkProductCrowd(t *testing.T, l crowdLimits, kind crowd.Kind, secure bool) {
	t.Helper()
	s := newProductSite(t, l, secure)
	cfg := s.crowd
	cfg.Kind, cfg.Count = kind, crowdCount
	checkCrowd(t, s, l, cfg)
}

// Guards against lines of unfinished heads that take many times their bytes in memory.
func TestCrowdOnTheProductsInterfaceOfHeadsOfManyLines(t *testing.T) {
	checkProductCrowd(t, crowdBounds, crowd.HeadOfManyLines, false)
}

// Guards against large bodies that stand still and take the memory of all.
func TestCrowdOnTheProductsInterfaceOfLargeBodies(t *testing.T) {
	checkProductCrowd(t, crowdBounds, crowd.LargeBody, false)
}

// Guards against chunks that the kernel holds for the router while it doesn't read them.
func TestCrowdOnTheProductsInterfaceOfLargeChunks(t *testing.T) {
	checkProductCrowd(t, crowdBounds, crowd.LargeChunks, false)
}

// Guards against chunks of one byte that take the processor from all.
func TestCrowdOnTheProductsInterfaceOfSmallChunks(t *testing.T) {
	checkProductCrowd(t, crowdBounds, crowd.SmallChunks, false)
}

// Guards against idle connections that take all descriptors.
func TestCrowdOnTheProductsInterfaceOfIdleConnections(t *testing.T) {
	checkProductCrowd(t, idleBounds, crowd.Idle, false)
}

// Guards against handshakes that stop and take all descriptors.
func TestCrowdOfHandshakes(t *testing.T) {
	checkProductCrowd(t, idleBounds, crowd.Handshake, true)
}

// Guards against memory that grows with unfinished heads at the listener for operators.
func TestCrowdAtTheAdminListener(t *testing.T) {
	checkOtherCrowd(t, newProductSite(t, crowdBounds, false), crowdBounds, "admin", crowd.HeadOfManyNames)
}

// Guards against the same at the listener for other routers.
func TestCrowdAtThePeerListenerOfTheProduct(t *testing.T) {
	checkOtherCrowd(t, newProductSite(t, crowdBounds, false), crowdBounds, "peer", crowd.HeadOfManyNames)
}

// Guards against idle connections that take all descriptors at the listener for operators.
func TestCrowdOfIdleConnectionsAtTheAdminListener(t *testing.T) {
	checkOtherCrowd(t, newProductSite(t, idleBounds, false), idleBounds, "admin", crowd.Idle)
}

// Guards against the same at the listener for other routers.
func TestCrowdOfIdleConnectionsAtThePeerListenerOfTheProduct(t *testing.T) {
	checkOtherCrowd(t, newProductSite(t, idleBounds, false), idleBounds, "peer", crowd.Idle)
}
