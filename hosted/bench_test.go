package hosted

import (
	"fmt"
	"testing"

	"wigeondale/generation"
)

// BenchmarkPick measures the choice of an engine for a run, and of an engine for the run's
// copy.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{120, 3000} {
		b.Run(fmt.Sprintf("%d replicas", n), func(b *testing.B) {
			pick := pickerOf(b, engineList(n, 3), 55000)
			ask := generation.PickRequest{RequestID: "q", Service: "llm", PromptTokens: 5000}
			b.ReportAllocs()
			for b.Loop() {
				r, share, err := pick.Pick(b.Context(), ask)
				if err != nil {
					b.Fatal(err)
				}
				_, copied, ok := pick.Standby(ask, r)
				if !ok {
					b.Fatal("no standby")
				}
				share.End()
				copied.End()
			}
		})
	}
}
