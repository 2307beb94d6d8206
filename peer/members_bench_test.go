package peer

import "testing"

// BenchmarkMembers measures copying the membership at the target size and choosing
// one member by rendezvous hash, as is done for the owner of a shard of claims.
func BenchmarkMembers(b *testing.B) {
	m := idleMesh(b, targetNodes)
	b.ReportAllocs()
	for b.Loop() {
		Rendezvous("claims/1", m.Members(), 1)
	}
}
