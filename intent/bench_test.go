package intent

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"wigeondale/fleet"
)

// These are the target sizes, which docs/CAPACITY.md derives.
const (
	targetAccounts = 5600
	targetModels   = 7
	targetReplicas = 10_000
	modelsEach     = 2 // models that each client account may use
)

// targetState returns a state of the target size whose history of plans and changed objects
// is as long as HistoryWindow allows.
func targetState(b *testing.B) *State {
	s := NewState()
	for i := range targetAccounts {
		id := fmt.Sprintf("account-%04d", i)
		s.Accounts[id] = Account{ID: id, KeyHashes: []string{strings.Repeat("a", 64)}, TokensPerSecond: 5000, Burst: 50_000, MaxConcurrent: 64}
		for m := range modelsEach {
			model := fmt.Sprintf("model-%d", (i+m)%targetModels)
			s.Access[id+"/"+model] = Access{Account: id, Model: model}
		}
	}
	for i := range targetModels {
		model := fmt.Sprintf("model-%d", i)
		s.Traffic[model] = Traffic{Model: model, Weights: []Weight{{Version: "v1", Percent: 100}}, Priority: "batch"}
	}
	for i := range targetReplicas {
		id := fmt.Sprintf("engine-%05d", i)
		model := fmt.Sprintf("model-%d", i%targetModels)
		s.Placement[id] = Placement{Backend: id, Desired: []fleet.ModelRef{{Model: model, Version: "v1"}}}
	}
	for n := uint64(1); n <= HistoryWindow; n++ {
		next, err := s.Apply(targetRevision(n))
		if err != nil {
			b.Fatal(err)
		}
		s = next
	}
	return s
}

// targetRevision returns a typical revision: it changes one client account.
func targetRevision(n uint64) Revision {
	id := fmt.Sprintf("account-%04d", n%targetAccounts)
	a := Account{ID: id, KeyHashes: []string{strings.Repeat("b", 64)}, TokensPerSecond: 6000, Burst: 60_000, MaxConcurrent: 64}
	return Revision{N: n, PlanID: fmt.Sprintf("plan-%d", n), Operator: "op", Base: n - 1, Changes: []Change{{Kind: KindAccount, Op: Set, Account: &a}}}
}

// BenchmarkApply measures applying one revision at the target size.
func BenchmarkApply(b *testing.B) {
	s := targetState(b)
	r := targetRevision(s.Revision + 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Apply(r); err != nil {
			b.Fatal(err)
		}
	}
	raw, err := EncodeRevision(r)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "bytes/revision")
}

// BenchmarkSnapshot measures encoding the complete state, which watchers do at every
// 256th revision, and the size of the state when stored and in memory.
func BenchmarkSnapshot(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := targetState(b)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var raw []byte
	for b.Loop() {
		var err error
		if raw, err = EncodeState(s); err != nil {
			b.Fatal(err)
		}
	}
	runtime.KeepAlive(s)
	b.ReportMetric(float64(len(raw)), "bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
}

// BenchmarkDecodeState measures decoding a snapshot, which a starting node does.
func BenchmarkDecodeState(b *testing.B) {
	raw, err := EncodeState(targetState(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := DecodeState(raw); err != nil {
			b.Fatal(err)
		}
	}
}
