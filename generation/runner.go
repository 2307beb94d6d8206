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
	"wigeondale/stopping"
)

//go:embed generation.json
var chartJSON []byte

// Defaults of Options, and fixed limits.
const (
	defaultLinger               = 10 * time.Second
	defaultMaxWait              = 3 * time.Second
	defaultStartedMaxWait       = 20 * time.Second
	defaultRetryAfter           = time.Second
	defaultAttachTimeout        = 2 * time.Second
	defaultMaxTokenlessAttempts = 8
	defaultPauseGap             = 250 * time.Millisecond
	defaultCallerGrace          = 200 * time.Millisecond
	maxNonIdempotentLinger      = 10 * time.Minute
	maxReattachTries            = 64 // consecutive re-attachments to a run that can't be repeated
	voidTimeout                 = 5 * time.Second
)

// Options configures a Runner. A duration or count of zero selects the default.
type Options struct {
	Node                 string        // prefix of the names under which requests are claimed
	Linger               time.Duration // how long engines keep an attempt without a reader; default 10 s
	MaxWait              time.Duration // longest wait for an engine before the first token; default 3 s
	StartedMaxWait       time.Duration // longest wait for an engine once the answer has started; default 20 s
	AttachTimeout        time.Duration // of one try to re-attach; default 2 s
	RetryAfter           time.Duration // sent to the caller when no better value is known; default 1 s
	MaxTokenlessAttempts int           // consecutive attempts without a token; default 8
	PauseGap             time.Duration // silence that may have been a pause of this process; default 250 ms
	CallerGrace          time.Duration // how long a loss after such a silence waits for the caller's disconnect to be noticed; default 200 ms
	Rand                 func() float64
	Log                  *event.Log
	Metrics              *metrics.Set
}

// Deps are the components that a Runner uses.
type Deps struct {
	Admitter   Admitter
	Claims     Claims
	Picker     Picker
	Watcher    Watcher
	Engines    Engines
	Abandon    Abandoner
	Budget     RetryBudget
	RunQuerier RunQuerier        // nil if backend servers aren't queried for runs
	Copier     Copier            // nil if backend servers make no copies on demand
	Guard      *quarantine.Guard // nil if crashes aren't attributed to requests
	Forwarder  Forwarder         // nil if no requests are passed on to other routers
	TakePlace  TakePlace         // nil if the connections of searches beside kept attempts are not bounded
	// StreamVersions is nil if all backend servers run the same software version.
	StreamVersions StreamVersions
	Stop           *stopping.Gate // nil if the process ends only when all requests have ended
}

// Runner runs generations. It is safe for concurrent use.
type Runner struct {
	Deps
	opts       Options
	chart      *chart.Chart
	steps      map[string]step
	m          *meters
	background sync.WaitGroup
}

// step does the work of one state and returns the event that ends it.
type step func(*run) string

// New returns a Runner, or an error if the state chart and the code don't match.
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
		"forward":  (*run).forward,
		"stream":   (*run).stream,
		"suspect":  (*run).suspect,
		"hold":     (*run).hold,
		"resume":   (*run).resume,
		"finish":   (*run).finish,
	}}
	for _, s := range c.States() {
		_, hasStep := r.steps[s]
		_, hasOutcome := finalOutcome[s]
		if c.IsFinal(s) != hasOutcome || c.IsFinal(s) == hasStep {
			return nil, Error.New("state %q of the chart has no matching code", s)
		}
	}
	return r, nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Linger, defaultLinger)
	setDefault(&o.MaxWait, defaultMaxWait)
	setDefault(&o.StartedMaxWait, defaultStartedMaxWait)
	setDefault(&o.AttachTimeout, defaultAttachTimeout)
	setDefault(&o.RetryAfter, defaultRetryAfter)
	setDefault(&o.MaxTokenlessAttempts, defaultMaxTokenlessAttempts)
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

// Wait blocks until the background work that Run left behind (releasing claims and dropping
// copies) has ended.
func (r *Runner) Wait() { r.background.Wait() }

// Run runs req until it has a final outcome, and returns that one, true result. It delivers to
// sink from the calling goroutine only. ctx ends when the caller disconnects.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) Result {
	r.m.open.Add(1)
	defer r.m.open.Add(-1)
	if !req.Deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadlineCause(ctx, req.Deadline, ErrDeadline)
		defer stop()
	}
	ctx, done := r.Stop.UntilEnd(ctx)
	defer done()
	x := newRun(r, ctx, req, sink)
	defer x.close()
	m := r.chart.New()
	for !m.Final() {
		ev, goesOn := x.checkKept()
		if !goesOn {
			ev = r.steps[m.State()](x)
		}
		if err := m.Fire(ev); err != nil {
			x.res.Err, x.res.Code = Error.Wrap(err), codeInternalFlow
			return x.result(x.incompleteState())
		}
	}
	return x.result(m.State())
}

// run is the state of one call of Run. It belongs to one goroutine.
type run struct {
	*Runner
	ctx  context.Context
	req  Request
	sink Sink
	// tracked records, for the quarantine guard, the crashes of backend servers that ran the
	// request or its repeats.
	tracked *quarantine.Submission
	// lossExamined is closed when the guard has determined what caused the latest loss.
	lossExamined <-chan struct{}

	filter     tokenFilter
	text       []byte // accepted text, kept only while a resume may need it
	textCap    int64  // bytes of text that the metric counts
	keepsText  bool
	release    func() // ends the admission; nil before it
	claimOwner string // name under which the request was claimed; empty without a claim
	fates      fates

	form           *backend.Form         // of the stream of which the caller has a part; nil before its first chunk
	emptyAnswer    *backend.Head         // of an answer without chunks to a client that has taken a stream up
	endStated      bool                  // the latest attempt that delivered a chunk broke off behind the end of its body
	bound          *Binding              // software version at which the answer began; nil before its first chunk
	lostDomain     string                // failure domain of the most recently lost attempt
	lostCopy       lostAttemptCopy       // standby copy of the most recently lost attempt
	copyUsed       bool                  // an attempt was sent to the copy of the kept attempt
	firstAfterLoss bool                  // the next attempt is the first since the loss of a started answer
	needsBudget    bool                  // the next attempt of an opaque request counts as another arrival at its service
	unreached      bool                  // no connection opened for an attempt
	anySent        bool                  // an attempt was sent, whether it may have run or not
	failedAnswer   *backend.FailedAnswer // the latest one; delivered if nothing better arrives
	backend        fleet.Backend         // picked, or still running the attempt
	loadShare      LoadShare             // in the load of backend
	current        *attempt              // attempt to read, re-attach to or cancel
	kept           *attempt              // silent attempt that is read while another backend server is looked for; nil if there is none
	searchCtx      context.Context       // of that search
	endSearch      context.CancelCauseFunc
	releasePlace   func()        // of the search; nil if it has no place
	holdDelay      time.Duration // until the next search, if one had no result
	lastOrigin     Position      // of the latest attempt that delivered
	attemptNumber  int           // number of the latest attempt
	exclude        map[string]bool
	delay          time.Duration // requested by the state before wait
	waitErr        error
	fruitlessTries int  // attempts or re-attachments since the last token
	callerSlow     bool // the loss occurred while the caller was slow to read

	startedAt    time.Time // when the run started
	lastToken    time.Time // time of the last token, or the start of the run
	pauseEndedAt time.Time // when the last silence longer than PauseGap ended
	lossCause    string    // set from a loss until the next token
	lostAt       time.Time // time of that loss
	searchLogged bool      // it is logged that the search after the latest loss has found nothing yet
	res          Result
}

func newRun(r *Runner, ctx context.Context, req Request, sink Sink) *run {
	x := &run{Runner: r, ctx: ctx, req: req, sink: sink, exclude: map[string]bool{}, lastToken: time.Now()}
	x.startedAt = x.lastToken
	x.bound = req.Binding
	x.anySent = req.Retry
	x.tracked = r.Guard.Track(req.subject())
	x.keepsText = !req.NonIdempotent
	if req.Opaque != nil {
		x.filter.next = req.Opaque.FirstChunk
		x.form = formBefore(&req)
		x.keepsText = false
	}
	if p := req.Resume; p != nil {
		x.bound = &Binding{Version: p.Software}
		x.fates.earlier = true
		x.filter.next = p.Offset
		x.attemptNumber = p.Attempt
		x.keepsText = x.keepsText && p.HaveText
		x.lossCause = causeRouter
		x.lostAt = x.lastToken
		if x.keepsText {
			x.text = []byte(p.Text)
		}
		x.meterText()
	}
	return x
}

func (x *run) started() bool {
	if o := x.req.Opaque; o != nil {
		return x.filter.next > o.FirstChunk
	}
	return x.filter.next > 0
}

// canContinueElsewhere reports whether another backend server may continue the answer: for an
// opaque request if it is idempotent, for any other request if this router keeps the accepted
// text.
func (x *run) canContinueElsewhere() bool {
	if x.req.Opaque != nil {
		return !x.req.NonIdempotent && !x.lostVersion()
	}
	return x.keepsText
}

// service returns the service of an opaque request, or "" if the request isn't opaque.
func (x *run) service() string {
	if x.req.Opaque == nil {
		return ""
	}
	return x.req.Opaque.Service
}

// meterText updates the metric of the memory used by accepted text when the capacity of the
// text has changed.
func (x *run) meterText() {
	if c := int64(cap(x.text)); c != x.textCap {
		x.m.textBytes.Add(c - x.textCap)
		x.textCap = c
	}
}

// newClaimOwner returns a name that is unique to this run, so that no other run can void its
// claim.
func (x *run) newClaimOwner() string {
	return x.opts.Node + "/" + strconv.FormatUint(rand.Uint64(), 36)
}
