// Package cachelookup finds the backend server that still has the prompt of a request in its
// cache, after the client reconnected because its router was lost.
//
// When a router dies in the middle of an answer, the client reconnects through another router,
// which knows nothing of the answer and would send the request to any backend server. A prompt
// of thousands of tokens would be read once more while the backend server that read it first
// still has it cached: prefill would be paid for twice after each loss of a router, and
// answers would continue a second late.
//
// What a router remembers is lost with the router, and all routers may be lost at once. The
// backend servers know what they have cached, so the backend servers are queried. Because
// queries cost the backend servers work, they are sent only for clients that reconnected, and
// a backend server is queried again only when its latest result is older than Config.MaxAge.
package cachelookup

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/singleflight"

	"wigeondale/fleet"
)

// Lister queries a backend server for the parts of prompts that it has cached. The result maps
// the id of each part to its number of tokens.
type Lister interface {
	CachedParts(ctx context.Context, b fleet.Backend) (map[string]int, error)
}

// Config configures a Finder. Zero values select the defaults.
type Config struct {
	MaxAge        time.Duration // how long the result of a query is reused
	Timeout       time.Duration // bound on the wait for the result of one query
	MaxCandidates int           // most candidates that one call of Find queries; of more candidates a random sample is queried
	Set           *metrics.Set
}

const (
	defaultMaxAge  = 2 * time.Second
	defaultTimeout = 150 * time.Millisecond
	// defaultMaxCandidates bounds how many connections are opened when one client reconnects
	// to a fleet of thousands of replicas.
	defaultMaxCandidates = 200
)

// Finder finds the backend server that has a prompt cached, and reuses the results of its
// queries. It is safe for concurrent use.
type Finder struct {
	cfg    Config
	lister Lister
	flight singleflight.Group

	mu      sync.Mutex
	results map[string]cachedParts

	queries, hits *metrics.Counter
}

// cachedParts is the result of querying one backend server. A query that failed counts as if the
// backend server had nothing cached.
type cachedParts struct {
	at     time.Time
	tokens map[string]int
}

// New returns a Finder that queries backend servers through lister.
func New(lister Lister, cfg Config) *Finder {
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = defaultMaxAge
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxCandidates <= 0 {
		cfg.MaxCandidates = defaultMaxCandidates
	}
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	return &Finder{
		cfg:     cfg,
		lister:  lister,
		results: map[string]cachedParts{},
		queries: cfg.Set.GetOrCreateCounter("wigeon_holders_asked_total"),
		hits:    cfg.Set.GetOrCreateCounter("wigeon_holders_found_total"),
	}
}

// Find returns the candidate that has most tokens of the leading parts cached, and the number
// of these tokens. If no candidate has the first part, it returns "" and 0.
func (f *Finder) Find(ctx context.Context, candidates []fleet.Backend, parts []string) (id string, tokens int) {
	candidates = f.sample(candidates)
	f.queryAll(ctx, candidates)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range candidates {
		if n := f.results[b.ID].leadingTokens(parts); n > tokens {
			id, tokens = b.ID, n
		}
	}
	if tokens > 0 {
		f.hits.Inc()
	}
	return id, tokens
}

// sample returns the candidates, or, if there are more than MaxCandidates, a random sample of
// MaxCandidates of them.
func (f *Finder) sample(candidates []fleet.Backend) []fleet.Backend {
	if len(candidates) <= f.cfg.MaxCandidates {
		return candidates
	}
	drawn := slices.Clone(candidates)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:f.cfg.MaxCandidates]
}

// leadingTokens counts the tokens of the cached parts up to the first part that is missing,
// since a part is of use only together with all parts that come before it.
func (h cachedParts) leadingTokens(parts []string) int {
	n := 0
	for _, p := range parts {
		t := h.tokens[p]
		if t == 0 {
			break
		}
		n += t
	}
	return n
}

// queryAll queries, concurrently, the candidates without a result that is recent enough to be
// reused.
func (f *Finder) queryAll(ctx context.Context, candidates []fleet.Backend) {
	var wg sync.WaitGroup
	for _, b := range candidates {
		if f.isCurrent(b.ID) {
			continue
		}
		wg.Go(func() { f.query(ctx, b) })
	}
	wg.Wait()
}

func (f *Finder) isCurrent(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.results[id]
	return ok && time.Since(h.at) < f.cfg.MaxAge
}

// query queries one backend server. If a query of the same backend server is under way
// already, this call waits for the result of that query instead.
func (f *Finder) query(ctx context.Context, b fleet.Backend) {
	f.flight.Do(b.ID, func() (any, error) {
		f.queries.Inc()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), f.cfg.Timeout)
		defer stop()
		tokens, err := f.lister.CachedParts(ctx, b)
		if err != nil {
			tokens = nil // nothing is known to be cached: the prompt is read again
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dropExpired()
		f.results[b.ID] = cachedParts{at: time.Now(), tokens: tokens}
		return nil, err
	})
}

func (f *Finder) dropExpired() {
	for id, h := range f.results {
		if time.Since(h.at) >= f.cfg.MaxAge {
			delete(f.results, id)
		}
	}
}
