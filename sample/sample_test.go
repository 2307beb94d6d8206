package sample

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestSampleIsLargeEnoughAndBounded guards against a sample that is too small to serve the
// load, and against routers whose state grows with the fleet.
func TestSampleIsLargeEnoughAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60000).Draw(t, "servers")
		p := ForCounts(map[string]int{"s": n})
		domains := rapid.IntRange(2, 6).Draw(t, "domains")
		in, byDomain := 0, make([]int, domains)
		for i := range n {
			if p.Includes("s", fmt.Sprintf("i-%08x", i*2654435761)) {
				in++
				byDomain[i%domains]++
			}
		}
		if n < 2*MinServers && in != n {
			t.Fatalf("%d of %d are sampled, want all", in, n)
		}
		if n >= 2*MinServers && (in < MinServers*8/10 || in > 2*MinServers*12/10) {
			t.Fatalf("%d of %d are sampled", in, n)
		}
		for d, k := range byDomain {
			if n >= 2*MinServers && k < in/domains/2 {
				t.Fatalf("domain %d has %d of %d", d, k, in)
			}
		}
		// Near the bound the sample may be slightly too large by chance.
		if q, changed := p.Adjusted(map[string]int{"s": in}); changed && in < 2*MinServers {
			t.Fatalf("%d of %d: %v is adjusted to %v at once", in, n, p, q)
		}
	})
}

// TestAdjustedPlanSettles guards against a plan that changes again and again, each time with a
// complete read of the store, after the fleet has grown or shrunk.
func TestAdjustedPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := ForCounts(map[string]int{"s": rapid.IntRange(1, 60000).Draw(t, "before")})
		n := rapid.IntRange(1, 60000).Draw(t, "now")
		for range 10 {
			next, changed := p.Adjusted(map[string]int{"s": n >> p.Halvings["s"]})
			if !changed {
				return
			}
			if !next.Within(p) && !p.Within(next) {
				t.Fatalf("%v and %v", p, next)
			}
			p = next
		}
		t.Fatalf("%v for %d servers is adjusted on and on", p, n)
	})
}

func TestDecodeRefusesWhatIsNoPlan(t *testing.T) {
	for _, data := range []string{``, `[]`, `{"halvings": {"s": -1}}`, `{"halvings": {"s": 65}}`, `{"halvings": 3}`} {
		if p, err := Decode([]byte(data)); err == nil {
			t.Errorf("%s: %v", data, p)
		}
	}
}

// TestSampleGrowsWithItsLoad guards against requests that are refused while most backend servers
// of a large service idle, because no router knows them. The enlarged sample must last.
func TestSampleGrowsWithItsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2*MinServers, 60000).Draw(t, "servers")
		p := ForCounts(map[string]int{"s": n})
		for p.Halvings["s"] > 0 {
			next, changed := p.Enlarged("s")
			if !changed || !p.Within(next) || next.Within(p) {
				t.Fatalf("%v becomes %v", p, next)
			}
			if q, changed := next.Adjusted(map[string]int{"s": n >> next.Halvings["s"]}); changed {
				t.Fatalf("%v of %d servers is taken back to %v", next, n, q)
			}
			p = next
		}
		if _, changed := p.Enlarged("s"); changed {
			t.Fatal("the sample of a whole service grows")
		}
	})
}

// Guards against a plan that counts as none because an operator or another program wrote its numbers in another notation.
func TestDecodeReadsEachNotation(t *testing.T) {
	p, err := Decode([]byte(`{"halvings": {"a": 3.0, "b": 1e0}, "wanted": {"a": 4096.0, "b": 2500.5}}`))
	if err != nil || p.Halvings["a"] != 3 || p.Halvings["b"] != 1 || p.Wanted["a"] != 4096 || p.Wanted["b"] != 2501 {
		t.Errorf("%+v, %v", p, err)
	}
}
