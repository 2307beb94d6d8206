// Package holders finds the backend server that still holds the prompt of a
// request whose client came back after its router was lost.
//
// Failure story: a router dies in the middle of an answer, or all of them do.
// The client comes back through another one, which knows nothing of the answer
// and places it anywhere, so that a prompt of thousands of tokens is read once
// more while the backend server that had read it still holds it. It shows as
// prefill that is paid for twice after each loss of a router, and as answers
// that go on a second late. What routers remember is lost with them; the backend
// servers know what they hold, so they are asked. Only for clients that came
// back, and each of them at most once in Config.Fresh: asking costs them work.
package holders

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

// Lister asks a backend server which parts of prompts it holds, in tokens.
type Lister interface {
	CachedParts(ctx context.Context, b fleet.Backend) (map[string]int, error)
}

// Config of a Finder. Zero durations mean the defaults.
type Config struct {
	MaxAge        time.Duration // how long an answer is used again
	Timeout       time.Duration // of one question
	MaxCandidates int           // candidates asked at once, drawn at random
	Set           *metrics.Set
}

const (
	defaultFresh   = 2 * time.Second
	defaultTimeout = 150 * time.Millisecond
	// defaultMost bounds the connections that one client's return can open where there
	// are thousands of replicas.
	defaultMost = 200
)

// Finder remembers what backend servers said. It may be shared by goroutines.
type Finder struct {
	cfg    Config
	lister Lister
	flight singleflight.Group

	mu    sync.Mutex
	known map[string]held

	asked, found *metrics.Counter
}

// held is what one backend server said. A failure counts as nothing held.
type held struct {
	at     time.Time
	tokens map[string]int
}

// New returns a Finder that asks by lister.
func New(lister Lister, cfg Config) *Finder {
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = defaultFresh
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxCandidates <= 0 {
		cfg.MaxCandidates = defaultMost
	}
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	return &Finder{
		cfg:    cfg,
		lister: lister,
		known:  map[string]held{},
		asked:  cfg.Set.GetOrCreateCounter("wigeon_holders_asked_total"),
		found:  cfg.Set.GetOrCreateCounter("wigeon_holders_found_total"),
	}
}

// Find returns which of the candidates holds most of the leading parts, and how
// many tokens that is; 0 when none holds any.
func (f *Finder) Find(ctx context.Context, candidates []fleet.Backend, parts []string) (id string, tokens int) {
	candidates = f.some(candidates)
	f.ask(ctx, candidates)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range candidates {
		if n := f.known[b.ID].leading(parts); n > tokens {
			id, tokens = b.ID, n
		}
	}
	if tokens > 0 {
		f.found.Inc()
	}
	return id, tokens
}

// some returns at most Config.Most of the candidates.
func (f *Finder) some(candidates []fleet.Backend) []fleet.Backend {
	if len(candidates) <= f.cfg.MaxCandidates {
		return candidates
	}
	drawn := slices.Clone(candidates)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:f.cfg.MaxCandidates]
}

// leading counts the tokens of the parts up to the first that is missing: a
// part is of use only with all that come before it.
func (h held) leading(parts []string) int {
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

// ask asks those whose answer isn't fresh, all at once.
func (f *Finder) ask(ctx context.Context, candidates []fleet.Backend) {
	var wg sync.WaitGroup
	for _, b := range candidates {
		if f.fresh(b.ID) {
			continue
		}
		wg.Go(func() { f.askOne(ctx, b) })
	}
	wg.Wait()
}

func (f *Finder) fresh(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.known[id]
	return ok && time.Since(h.at) < f.cfg.MaxAge
}

// askOne joins a question that is under way.
func (f *Finder) askOne(ctx context.Context, b fleet.Backend) {
	f.flight.Do(b.ID, func() (any, error) {
		f.asked.Inc()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), f.cfg.Timeout)
		defer stop()
		tokens, err := f.lister.CachedParts(ctx, b)
		if err != nil {
			tokens = nil // nothing is known to be held: the prompt is read anew
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.forgetOld()
		f.known[b.ID] = held{at: time.Now(), tokens: tokens}
		return nil, err
	})
}

func (f *Finder) forgetOld() {
	for id, h := range f.known {
		if time.Since(h.at) >= f.cfg.MaxAge {
			delete(f.known, id)
		}
	}
}
