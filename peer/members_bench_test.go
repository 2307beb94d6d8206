package peer

import "testing"

// BenchmarkMembers measures copying the membership at the target size and choosing one
// member by rendezvous hash, which is how the owner of a shard of claims is chosen.
func BenchmarkMembers(b *testing.B) {
	m := idleMesh(b, targetNodes)
	b.ReportAllocs()
	for b.Loop() {
		Rendezvous("claims/1", m.Members(), 1)
	}
}
