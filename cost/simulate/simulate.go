// Package simulate is a model of fleets of routers and engines, to compare ways to state what a
// request costs: it plays the same streams for each way. Routers choose among three engines whose reports
// are up to 300 ms old, by the steps of package routing that hosted uses. Networks are left out, so the
// figures rank the ways; they are not those of a deployment.
package simulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/routing"
)

const (
	tick          = 50 * time.Millisecond
	meanPrompt    = 5200.0
	promptSigma   = 0.3
	promptSpread  = meanPrompt * meanPrompt * 0.0942 // variance of a log-normal prompt with promptSigma
	statedMaximum = 4000
	accounts      = 24
	queried       = 3
	// fullMesh is the largest number of routers that tell each other at once what they have sent where.
	fullMesh = 24
	// target is the time to the first chunk that a stream needs; patience is how long it waits for an engine.
	target   = 4 * time.Second
	patience = target / 2
	// activeWaiters is how many waiting streams of a router ask for an engine at a time.
	activeWaiters = 3
	ownLag        = 300 * time.Millisecond
)

// Config is one fleet and its load.
type Config struct {
	Routers, Engines int
	PerEngine        float64 // streams a second for each engine
	Seed             uint64
	Policy           string
	Length, From     time.Duration // of the run; streams that arrive before From don't count
	BurstFactor      float64       // of long streams, for 10 s in the middle of the counted time; 0 for none
	Hints            Hints
}

// Hints is the kind of the clients' hints.
type Hints string

// Kinds of hints.
const (
	HintsMixed   Hints = "mixed"   // right at the median, some missing, one account in eight hostile
	HintsMissing Hints = "missing" // none
	HintsTenfold Hints = "tenfold" // too long or too short by a factor of ten
	HintsHostile Hints = "hostile" // always 1
)

// Result is what became of the streams that count.
type Result struct {
	Streams, InTime, Refused, Late, Preempted int
	First                                     time.Duration // mean time to the first chunk of those served
	Preemptions                               int           // at all engines, in the whole run
}

// Good returns the share of streams whose first chunk came in time and that were not preempted.
func (r Result) Good() float64 { return float64(r.InTime) / float64(max(r.Streams, 1)) }

type start struct {
	at   time.Duration
	load directory.Load
}

type router struct {
	known   *knowledge
	waiting []*stream
	starts  map[int][]start // by engine, of the last ownLag
}

type model struct {
	Config
	rng     *rand.Rand // of the streams
	choice  *rand.Rand // of the routers
	picker  *routing.Router
	engines []*engine
	routers []*router
	streams []*stream
	backend []fleet.Backend
	epoch   time.Time
}

// Run plays one fleet.
func Run(c Config) (Result, error) {
	m := &model{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), choice: rand.New(rand.NewPCG(c.Seed, 2)), epoch: time.Unix(1_000_000, 0)}
	var err error
	m.picker, err = routing.New([]routing.StepConfig{
		{Name: routing.FilterServes}, {Name: routing.FilterLeaving}, {Name: routing.FilterExclude},
		{Name: routing.FilterMemory}, {Name: routing.FilterBacklog}, {Name: routing.ScoreDelay},
		{Name: routing.ScoreMemory, Weight: 0.25}, {Name: routing.PickBest},
	}, rand.New(rand.NewPCG(c.Seed, 3)))
	if err != nil {
		return Result{}, err
	}
	for i := range c.Engines {
		m.engines = append(m.engines, &engine{})
		m.backend = append(m.backend, fleet.Backend{ID: fmt.Sprint("e", i)})
	}
	shared := map[int][]start{}
	for range c.Routers {
		r := &router{known: newKnowledge(c.Policy), starts: shared}
		if c.Routers > fullMesh {
			r.starts = map[int][]start{}
		}
		m.routers = append(m.routers, r)
	}
	for now := time.Duration(0); now < c.Length; now += tick {
		m.arrive(now)
		for _, r := range m.routers {
			m.place(r, now)
		}
		for _, e := range m.engines {
			e.step(now, func(s *stream) {
				s.endedAt = now
				m.routers[s.router].known.ended(s, m.epoch.Add(now))
			})
		}
	}
	return m.result(), nil
}

// arrive adds the streams of one tick.
func (m *model) arrive(now time.Duration) {
	rate := m.PerEngine * float64(m.Engines)
	burst := 0.0
	if middle := (m.From + m.Length) / 2; m.BurstFactor > 0 && now >= middle && now < middle+10*time.Second {
		burst = rate * m.BurstFactor
	}
	for range poisson(m.rng, (rate+burst)*tick.Seconds()) {
		s := m.newStream(now, m.rng.Float64()*(rate+burst) >= rate)
		m.streams = append(m.streams, s)
		m.routers[s.router].waiting = append(m.routers[s.router].waiting, s)
	}
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		n++
	}
	return n
}

// newStream draws a stream: of a few large client accounts, on two routes, each account with a factor of
// its own.
func (m *model) newStream(now time.Duration, long bool) *stream {
	account := int(float64(accounts) * m.rng.Float64() * m.rng.Float64())
	s := &stream{router: m.rng.IntN(m.Routers), account: fmt.Sprint("a", account), arrivedAt: now, maximum: statedMaximum}
	median, sigma := 300.0, 0.6
	s.route = "chat"
	if m.rng.Float64() < 0.4 || long {
		median, sigma, s.route = 1100, 0.4, "draft"
	}
	median *= math.Exp(0.5 * math.Sin(float64(3*account+1)))
	s.length = math.Ceil(min(max(median*math.Exp(sigma*m.rng.NormFloat64()), 1), statedMaximum))
	s.prompt = math.Ceil(min(meanPrompt*math.Exp(promptSigma*m.rng.NormFloat64()-promptSigma*promptSigma/2), engineMemory/3))
	s.toRead = s.prompt
	s.hint = m.hint(account, s.length, m.rng.NormFloat64(), m.rng.Float64())
	return s
}

func (m *model) hint(account int, length, normal, uniform float64) int {
	switch m.Hints {
	case HintsMissing:
		return 0
	case HintsHostile:
		return 1
	case HintsTenfold:
		if uniform < 0.5 {
			return int(max(length/10, 1))
		}
		return int(length * 10)
	}
	switch {
	case account%8 == 0:
		return int(max(length/10, 1) * (1 + uniform))
	case uniform < 0.2:
		return 0
	}
	return int(max(length*math.Exp(0.5*normal), 1))
}

// place lets the first waiting streams of a router ask for engines.
func (m *model) place(r *router, now time.Duration) {
	left := r.waiting[:0]
	for i, s := range r.waiting {
		switch {
		case now-s.arrivedAt > patience:
			s.refused = true
		case i >= activeWaiters || !m.choose(r, s, now):
			left = append(left, s)
		}
	}
	r.waiting = left
}

// live is what a router knows of one engine.
type live struct{ load directory.Load }

func (l live) Load(time.Time) float64       { return l.load.Requests }
func (l live) Reported() float64            { return l.load.Requests }
func (l live) Slots() float64               { return engineRuns }
func (l live) Leaving() bool                { return false }
func (l live) Hits([]uint64, time.Time) int { return 0 }
func (l live) Reading() float64             { return l.load.Reading }
func (l live) Running() float64             { return l.load.Running }
func (l live) Memory() float64              { return l.load.Memory }
func (l live) Spread() float64              { return l.load.Spread }
func (l live) ReportedAt() time.Time        { return time.Time{} }

// choose sends a stream to one of the queried engines, if one has room.
func (m *model) choose(r *router, s *stream, now time.Duration) bool {
	at := m.epoch.Add(now)
	if s.sizedAt == 0 || now-s.sizedAt >= sizeAge {
		s.size, s.sizedAt = r.known.sizeOf(s, at), now
	}
	z := s.size
	candidates := make([]routing.Candidate, 0, queried)
	indexes := map[string]int{}
	for range queried {
		i := m.choice.IntN(m.Engines)
		if _, twice := indexes[m.backend[i].ID]; twice {
			continue
		}
		indexes[m.backend[i].ID] = i
		load := r.known.loadOf(m.engines[i], at)
		if load.Requests >= engineRuns {
			continue
		}
		for _, own := range r.recent(i, now) {
			load = load.Plus(own.load)
		}
		candidates = append(candidates, routing.Candidate{Backend: &m.backend[i], Live: live{load}})
	}
	if len(candidates) == 0 {
		return false
	}
	c, _, err := m.picker.Pick(candidates, routing.PickRequest{
		PromptTokens: int(s.prompt), MemoryTokens: int(s.prompt + z.answer), MemorySpread: z.spread,
		Capacity: engineMemory, Backlog: readPerSecond * patience.Seconds(), FleetKnown: true,
	})
	if err != nil {
		return false
	}
	i := indexes[c.Backend.ID]
	m.engines[i].waiting = append(m.engines[i].waiting, s)
	r.starts[i] = append(r.starts[i], start{now, directory.Load{Requests: 1, Reading: s.prompt, Memory: s.prompt + z.answer, Spread: z.spread}})
	r.known.prompt += (s.prompt - r.known.prompt) / 20
	return true
}

// recent returns the streams that a router has sent to an engine so lately that its report may lack them.
func (r *router) recent(engine int, now time.Duration) []start {
	kept := r.starts[engine][:0]
	for _, s := range r.starts[engine] {
		if now-s.at <= ownLag {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		delete(r.starts, engine)
		return nil
	}
	r.starts[engine] = kept
	return kept
}

func (m *model) result() (out Result) {
	var first time.Duration
	served := 0
	for _, s := range m.streams {
		if s.arrivedAt < m.From || s.arrivedAt > m.Length-target {
			continue
		}
		out.Streams++
		switch {
		case s.refused:
			out.Refused++
			continue
		case s.firstAt == 0 || s.firstAt-s.arrivedAt > target:
			out.Late++
		case s.preempted:
			out.Preempted++
		default:
			out.InTime++
		}
		if s.firstAt > 0 {
			served++
			first += s.firstAt - s.arrivedAt
		}
	}
	out.First = first / time.Duration(max(served, 1))
	for _, e := range m.engines {
		out.Preemptions += e.preempted
	}
	return out
}

// Add adds the result of another run.
func (r *Result) Add(o Result) {
	all := r.Streams + o.Streams
	r.First = (r.First*time.Duration(r.Streams) + o.First*time.Duration(o.Streams)) / time.Duration(max(all, 1))
	r.Streams = all
	r.InTime += o.InTime
	r.Refused += o.Refused
	r.Late += o.Late
	r.Preempted += o.Preempted
	r.Preemptions += o.Preemptions
}
