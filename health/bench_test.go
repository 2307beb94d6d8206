package health

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkBytesPerEngine measures the memory that the record of one engine takes.
func BenchmarkBytesPerEngine(b *testing.B) {
	const n = 2000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := NewMonitor(DefaultPolicy(), nil, nil)
		for i := range n {
			m.Result(fmt.Sprint("e", i), nil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(m)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/engine")
	}
}
