package hosted

import (
	"fmt"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/backpressure"
	"wigeondale/generation"
)

// BenchmarkPick measures the choice of an engine for a run, and of an engine for the run's
// copy.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct{ replicas, limited int }{{120, 0}, {200, 0}, {200, 20}, {3000, 0}} {
		b.Run(fmt.Sprintf("%d replicas, %d limited", c.replicas, c.limited), func(b *testing.B) {
			list := engineList(c.replicas, 3)
			pick := pickerOf(b, list, 55000)
			pick.pressure = backpressure.New(backpressure.Config{Node: "n1", Nodes: func() []string { return []string{"n1"} }})
			for i := range c.limited {
				pick.pressure.Observe(list[i], time.Now(), time.Now(), backend.Statement{Limit: 2, HasLimit: true})
			}
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
