package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// arrival is one request of the schedule of a run.
type arrival struct {
	at     time.Duration // after the start of the run
	class  int
	prompt string
	key    string
}

// arrivals returns the complete schedule of a run, which depends only on the configuration and
// its seed, sorted by time.
func arrivals(cfg Config) []arrival {
	var all []arrival
	for i, cl := range cfg.Classes {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		all = append(all, classArrivals(cfg, i, cl, rng)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all[:min(len(all), cfg.MaxRequests)]
}

func classArrivals(cfg Config, class int, cl Class, rng *rand.Rand) []arrival {
	if cl.Rate <= 0 {
		return nil
	}
	docs := documents(cl, rng)
	var out []arrival
	var at time.Duration
	for len(out) < cfg.MaxRequests {
		at += time.Duration(rng.ExpFloat64() / cl.Rate * float64(time.Second))
		if at > cfg.Duration {
			break
		}
		n := len(out)
		out = append(out, arrival{
			at:     at,
			class:  class,
			prompt: docs[rng.IntN(len(docs))] + fmt.Sprintf("\nRequest %d of %s.", n, cl.Name),
			key:    fmt.Sprintf("load-%d-%s-%d-%08x", cfg.Seed, cl.Name, n, rng.Uint32()),
		})
	}
	return out
}

var words = strings.Fields(`release notes summary change fix module vendor
	locale tag route delivery slot claim manual crew counter booking version`)

func documents(cl Class, rng *rand.Rand) []string {
	docs := make([]string, max(cl.Prefixes, 1))
	for i := range docs {
		var b strings.Builder
		fmt.Fprintf(&b, "Document %d of %s:", i, cl.Name)
		for b.Len() < cl.PromptBytes {
			b.WriteByte(' ')
			b.WriteString(words[rng.IntN(len(words))])
		}
		docs[i] = b.String()
	}
	return docs
}
