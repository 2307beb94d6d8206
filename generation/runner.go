package generation

import (
	"context"
	_ "embed"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/backend"
	"wigeondale/chart"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/quarantine"
)

//go:embed generation.json
var chartJSON []byte

// Defaults of Options.
const (
	defaultLinger          = 10 * time.Second
	defaultPatience        = 3 * time.Second
	defaultStartedPatience = 20 * time.Second
	defaultRetryAfter      = time.Second
	defaultAttachTimeout   = 2 * time.Second
	defaultMaxFruitless    = 8
	defaultPauseGap        = 250 * time.Millisecond
	defaultCallerGrace     = 200 * time.Millisecond
	maxOnceLinger          = 10 * time.Minute
	maxOnceTries           = 64 // re-attachments in a row to a run that can't be repeated
	voidTimeout            = 5 * time.Second
)

// Options of a Runner. Zero durations and counts mean the defaults.
type Options struct {
	Node                 string        // part of the claims' attempt names
	Linger               time.Duration // how long engines keep an attempt without a reader; default 10 s
	MaxWait              time.Duration // longest wait for an engine before the first token; default 3 s
	StartedMaxWait       time.Duration // the same once an answer has begun; default 20 s
	AttachTimeout        time.Duration // of one try to re-attach; default 2 s
	RetryAfter           time.Duration // told to the caller when nothing better is known; default 1 s
	MaxTokenlessAttempts int           // attempts in a row without a token; default 8
	PauseGap             time.Duration // silence that may have been this process's own pause; default 250 ms
	CallerGrace          time.Duration // how long a loss after such a silence waits for news of the caller; default 200 ms
	Rand                 func() float64
	Log                  *event.Log
	Metrics              *metrics.Set
}

// Deps are what a Runner works with.
type Deps struct {
	Admitter   Admitter
	Claims     Claims
	Picker     Picker
	Watcher    Watcher
	Engines    Engines
	Abandon    Abandoner
	Budget     RetryBudget
	RunQuerier RunQuerier        // nil where backend servers aren't asked about runs
	Copier     Copier            // nil where backend servers make no copies on demand
	Guard      *quarantine.Guard // nil where requests aren't followed
}

// Runner runs generations. It may be shared by goroutines.
type Runner struct {
	Deps
	opts  Options
	chart *chart.Chart
	steps map[string]step
	m     *meters
	voids sync.WaitGroup
}

// step does the work of one state and returns the event that ends it.
type step func(*run) string

// New returns a Runner, or an error when chart and code don't fit together.
func New(d Deps, o Options) (*Runner, error) {
	c, err := chart.Load(chartJSON)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	o = o.withDefaults()
	r := &Runner{Deps: d, opts: o, chart: c, m: newMeters(o.Metrics), steps: map[string]step{
		"admit":    (*run).admit,
		"claim":    (*run).claim,
		"pick":     (*run).pick,
		"wait":     (*run).wait,
		"dispatch": (*run).dispatch,
		"stream":   (*run).stream,
		"suspect":  (*run).suspect,
		"resume":   (*run).resume,
		"finish":   (*run).finish,
	}}
	for _, s := range c.States() {
		_, hasStep := r.steps[s]
		_, hasOutcome := finalOutcome[s]
		if c.IsFinal(s) != hasOutcome || c.IsFinal(s) == hasStep {
			return nil, Error.New("state %q of the chart has no code that fits it", s)
		}
	}
	return r, nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Linger, defaultLinger)
	setDefault(&o.MaxWait, defaultPatience)
	setDefault(&o.StartedMaxWait, defaultStartedPatience)
	setDefault(&o.AttachTimeout, defaultAttachTimeout)
	setDefault(&o.RetryAfter, defaultRetryAfter)
	setDefault(&o.MaxTokenlessAttempts, defaultMaxFruitless)
	setDefault(&o.PauseGap, defaultPauseGap)
	setDefault(&o.CallerGrace, defaultCallerGrace)
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

func setDefault[T time.Duration | int](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Wait returns when the voids of claims that Run left behind have ended.
func (r *Runner) Wait() { r.voids.Wait() }

// Run carries req to its end and returns the one final, true answer. It
// delivers to sink from the calling goroutine only. ctx ends when the caller
// is gone.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) Result {
	r.m.open.Add(1)
	defer r.m.open.Add(-1)
	if !req.Deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadlineCause(ctx, req.Deadline, ErrDeadline)
		defer stop()
	}
	x := newRun(r, ctx, req, sink)
	defer x.close()
	m := r.chart.New()
	for !m.Final() {
		ev := r.steps[m.State()](x)
		if err := m.Fire(ev); err != nil {
			x.res.Err, x.res.Code = Error.Wrap(err), codeInternalFlow
			return x.result(x.lostState())
		}
	}
	return x.result(m.State())
}

// run is the state of one Run. It belongs to one goroutine.
type run struct {
	*Runner
	ctx  context.Context
	req  Request
	sink Sink
	// followed is what is known of the request and its repeats.
	followed *quarantine.Submission
	// examined is closed when it is known what the latest loss was.
	examined <-chan struct{}

	acc       acceptor
	text      []byte // accepted text, held only while a resume may need it
	textCap   int64  // bytes of text that the metric knows of
	holdsText bool
	release   func() // of the admission; nil before it
	claimedAs string // attempt name of the claim; empty without one
	reached   bool   // a byte may have reached an engine that hasn't refused

	lostDomain string                // failure domain of the attempt lost last
	lostCopy   copyOfLost            // of the attempt lost last
	afterLoss  bool                  // the next attempt is the first since an answer that had begun was lost
	repeats    bool                  // the next attempt of an opaque request is one more arrival at its service
	sent       int                   // attempts that may have run
	sentBefore bool                  // an attempt was sent, whether it may have run or not
	failed     *backend.FailedAnswer // the latest, delivered if nothing better comes
	backend    fleet.Backend         // picked or held
	share      LoadShare             // in the load of backend
	last       *attempt              // attempt to read, re-attach to or cancel
	number     int                   // of the latest attempt
	exclude    map[string]bool
	delay      time.Duration // asked for by the state before wait
	waitErr    error
	tries      int  // attempts or re-attachments since the last token
	callerSlow bool // the loss came while the caller was slow to read

	lastToken time.Time // of the last token, or the start
	awoke     time.Time // when a silence longer than PauseGap ended
	lossCause string    // set from a loss until the next token
	lostAt    time.Time // of that loss
	res       Result
}

func newRun(r *Runner, ctx context.Context, req Request, sink Sink) *run {
	x := &run{Runner: r, ctx: ctx, req: req, sink: sink, exclude: map[string]bool{}, lastToken: time.Now()}
	x.followed = r.Guard.Track(req.subject())
	x.holdsText = !req.NonIdempotent
	if req.Opaque != nil {
		x.acc.next = req.Opaque.FirstChunk
		x.holdsText = false
	}
	if p := req.Resume; p != nil {
		x.reached = true
		x.acc.next = p.Offset
		x.number = p.Attempt
		x.holdsText = x.holdsText && p.HaveText
		x.lossCause = causeRouter
		x.lostAt = x.lastToken
		if x.holdsText {
			x.text = []byte(p.Text)
		}
		x.meterText()
	}
	return x
}

func (x *run) started() bool {
	if o := x.req.Opaque; o != nil {
		return x.acc.next > o.FirstChunk
	}
	return x.acc.next > 0
}

// continues tells that another backend server may go on with the answer.
func (x *run) continues() bool {
	if x.req.Opaque != nil {
		return !x.req.NonIdempotent
	}
	return x.holdsText
}

// service is that of an opaque request, else empty.
func (x *run) service() string {
	if x.req.Opaque == nil {
		return ""
	}
	return x.req.Opaque.Service
}

// meterText accounts for the memory of the accepted text.
func (x *run) meterText() {
	if c := int64(cap(x.text)); c != x.textCap {
		x.m.textBytes.Add(c - x.textCap)
		x.textCap = c
	}
}

// claimName is unique to this run, so that only it can void its claim.
func (x *run) claimName() string {
	return x.opts.Node + "/" + strconv.FormatUint(rand.Uint64(), 36)
}
