package peer

import "testing"

// BenchmarkMembers measures a copy of the membership at the target size, and
// the choice of one among them by rendezvous hash, as each claim's shard needs.
func BenchmarkMembers(b *testing.B) {
	m := idleMesh(b, targetNodes)
	b.ReportAllocs()
	for b.Loop() {
		Rendezvous("claims/1", m.Members(), 1)
	}
}
