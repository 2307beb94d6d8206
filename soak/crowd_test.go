//go:build !race

// These tests measure one process each, and nothing else may run beside them. They check nothing that depends on the speed of the
// machine. The race detector uses several times as much memory.
package soak

import (
	"testing"

	"wigeondale/fakes/crowd"
)

// The limits of all tests here. crowdCount is more than the descriptors of idleBounds, also if they are doubled.
var (
	crowdBounds = crowdLimits{memoryMB: 128, descriptors: 512}
	idleBounds  = crowdLimits{memoryMB: 128, descriptors: 192}
)

const (
	crowdCount = 400
	// largeBodies is the number of clients that send whole bodies.
	largeBodies = 150
)

// checkPlatformCrowd checks a router on the users' platform under a crowd at its caller listener.
func checkPlatformCrowd(t *testing.T, l crowdLimits, kind crowd.Kind, count int) {
	t.Helper()
	s := newPlatformSite(t, l)
	cfg := s.crowd
	cfg.Kind, cfg.Count = kind, count
	checkCrowd(t, s, l, cfg)
}

// checkOtherCrowd checks a router under a crowd at one of its other listeners.
func checkOtherCrowd(t *testing.T, s *crowdSite, l crowdLimits, listener string, kind crowd.Kind) {
	t.Helper()
	cfg := s.crowd
	cfg.Addr, cfg.Path, cfg.Kind, cfg.Count = s.others[listener], "/readyz", kind, crowdCount
	checkCrowd(t, s, l, cfg)
}

// Guards against memory that grows with unfinished heads of one long line.
func TestCrowdOfHeadsOfOneLine(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.HeadOfOneLine, crowdCount)
}

// Guards against lines of unfinished heads that take many times their bytes in memory.
func TestCrowdOfHeadsOfManyLines(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.HeadOfManyLines, crowdCount)
}

// Guards against names of header lines that take many times their bytes in memory.
func TestCrowdOfHeadsOfManyNames(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.HeadOfManyNames, crowdCount)
}

// Guards against a connection that occupies the router with empty lines before a request.
func TestCrowdOfEmptyLines(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.EmptyLines, crowdCount)
}

// Guards against a connection that occupies the router with empty lines after a request.
func TestCrowdOfEmptyLinesAfterARequest(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.LinesAfterPost, crowdCount)
}

// Guards against large bodies that stand still and take the memory of all.
func TestCrowdOfLargeBodies(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.LargeBody, crowdCount)
}

// Guards against small bodies that stand still and that no bound counts.
func TestCrowdOfSmallBodies(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.SmallBody, crowdCount)
}

// Guards against chunks that the kernel holds for the router while it doesn't read them.
func TestCrowdOfLargeChunks(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.LargeChunks, crowdCount)
}

// Guards against chunks of one byte that take the processor from all.
func TestCrowdOfSmallChunks(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.SmallChunks, crowdCount)
}

// Guards against chunk extensions that are read without end.
func TestCrowdOfChunkExtensions(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.ChunkExtensions, crowdCount)
}

// Guards against trailers that are read without end.
func TestCrowdOfTrailers(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.Trailers, crowdCount)
}

// Guards against whole bodies that together take more than the memory.
func TestCrowdOfWholeBodies(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.WholeBodies, largeBodies)
}

// Guards against idle connections that take all descriptors.
func TestCrowdOfIdleConnections(t *testing.T) {
	checkPlatformCrowd(t, idleBounds, crowd.Idle, crowdCount)
}

// Guards against large answers that clients don't read and that take the memory of all.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.UnreadAnswer, crowdCount)
}

// Guards against second attempts of silent requests that take all descriptors.
func TestCrowdOfSilentRequests(t *testing.T) {
	s := newSilentSite(t, crowdBounds)
	cfg := s.crowd
	cfg.Kind, cfg.Count = crowd.UnreadAnswer, crowdCount
	checkCrowd(t, s, crowdBounds, cfg)
}

// Guards against requests that the kernel holds while the answers before them are not read.
func TestCrowdOfPipelinedRequests(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.UnreadPipeline, crowdCount)
}

// Guards against memory that is taken for a body that the client announces and doesn't send.
func TestCrowdOfAnnouncedBodies(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds, crowd.ExpectedContinue, crowdCount)
}

// The same rule holds with half of the memory and twice the descriptors. Guards against a bound that is a constant.
func TestCrowdWithHalfOfTheMemoryOfHeadsOfManyNames(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds.half(), crowd.HeadOfManyNames, crowdCount)
}

// Guards against lines of unfinished heads that take many times their bytes, with half of the memory.
func TestCrowdWithHalfOfTheMemoryOfHeadsOfManyLines(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds.half(), crowd.HeadOfManyLines, crowdCount)
}

// Guards against chunks that the kernel holds, with half of the memory.
func TestCrowdWithHalfOfTheMemoryOfLargeChunks(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds.half(), crowd.LargeChunks, crowdCount)
}

// Guards against chunks of one byte that are read more slowly than they come, with half of the memory.
func TestCrowdWithHalfOfTheMemoryOfSmallChunks(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds.half(), crowd.SmallChunks, crowdCount)
}

// Guards against large bodies that stand still, with half of the memory.
func TestCrowdWithHalfOfTheMemoryOfLargeBodies(t *testing.T) {
	checkPlatformCrowd(t, crowdBounds.half(), crowd.LargeBody, crowdCount)
}

// Guards against idle connections that take all descriptors, with twice as many.
func TestCrowdWithTwiceTheDescriptorsOfIdleConnections(t *testing.T) {
	checkPlatformCrowd(t, idleBounds.half(), crowd.Idle, crowdCount)
}

// Guards against memory that grows with unfinished heads at a listener that isn't for clients.
func TestCrowdAtTheReadinessListener(t *testing.T) {
	checkOtherCrowd(t, newPlatformSite(t, crowdBounds), crowdBounds, "readiness", crowd.HeadOfManyNames)
}

// Guards against the same at the metrics listener.
func TestCrowdAtTheMetricsListener(t *testing.T) {
	checkOtherCrowd(t, newPlatformSite(t, crowdBounds), crowdBounds, "metrics", crowd.HeadOfManyNames)
}

// Guards against the same at the listener for other routers.
func TestCrowdAtThePeerListener(t *testing.T) {
	checkOtherCrowd(t, newPlatformSite(t, crowdBounds), crowdBounds, "peer", crowd.HeadOfManyNames)
}

// Guards against idle connections that take all descriptors at the readiness listener.
func TestCrowdOfIdleConnectionsAtTheReadinessListener(t *testing.T) {
	checkOtherCrowd(t, newPlatformSite(t, idleBounds), idleBounds, "readiness", crowd.Idle)
}

// Guards against the same at the metrics listener.
func TestCrowdOfIdleConnectionsAtTheMetricsListener(t *testing.T) {
	checkOtherCrowd(t, newPlatformSite(t, idleBounds), idleBounds, "metrics", crowd.Idle)
}

// Guards against the same at the listener for other routers.
func TestCrowdOfIdleConnectionsAtThePeerListener(t *testing.T) {
	checkOtherCrowd(t, newPlatformSite(t, idleBounds), idleBounds, "peer", crowd.Idle)
}
