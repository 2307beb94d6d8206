package hosted

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
)

const (
	modelSlots    = 4 // runs that a server works on at once
	modelInterval = 50 * time.Millisecond
	modelLatency  = time.Millisecond
	modelListed   = 2 * time.Second // how long a crashed server stays in the list
)

var errModelRefused = Error.New("%w: connection refused", backend.ErrNotSent)

// period is a period since the start of a fleet.
type period struct{ from, to time.Duration }

// modelServer is a simulated backend server. While it is silent it accepts requests, but sends nothing and notices no
// closed connection.
type modelServer struct {
	f           *silenceFleet
	id, version string
	domain      int
	silences    []period
	slots       chan struct{}
	crashed     chan struct{}
	runs        []*modelRun // guarded by f.mu, as the fields of runs
}

// modelRun is an attempt at a server.
type modelRun struct {
	q       *modelRequest
	server  *modelServer
	from    int // its first chunk
	out     chan int
	head    chan struct{} // closed when the server sends the head of the answer
	closed  chan struct{}
	broken  bool // by the crash of its server
	working bool
	made    int // the last chunk made

	openedAt, headAt, workedAt, closedAt, endedAt time.Duration // 0 if not
}

func (s *modelServer) isCrashed() bool {
	select {
	case <-s.crashed:
		return true
	default:
		return false
	}
}

// crash breaks the connections of the server. Later ones are refused.
func (s *modelServer) crash() {
	s.f.locked(func() {
		for _, r := range s.runs {
			r.broken = r.broken || r.closedAt == 0 && r.endedAt == 0
		}
		close(s.crashed)
	})
}

// awaitAwake waits while the server is silent.
func (s *modelServer) awaitAwake(ctx context.Context) error {
	for {
		now := s.f.now()
		i := slices.IndexFunc(s.silences, func(p period) bool { return p.from <= now && now < p.to })
		if i < 0 {
			return nil
		}
		select {
		case <-time.After(s.silences[i].to - now):
		case <-s.crashed:
			return backend.ErrBroken
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (s *modelServer) silentAt(at time.Duration) bool {
	return slices.ContainsFunc(s.silences, func(p period) bool { return p.from <= at && at < p.to })
}

// Open implements generation.Engines.
func (p *silenceRouter) Open(ctx context.Context, b fleet.Backend, start backend.StartRequest) (generation.Stream, error) {
	f := p.f
	s := f.server(b.ID)
	time.Sleep(modelLatency)
	if s.isCrashed() {
		return nil, errModelRefused
	}
	q := f.request(start.ID)
	r := &modelRun{
		q: q, server: s, from: max(start.ResumeTokens, 1), openedAt: f.now(),
		out: make(chan int, q.chunks+1), head: make(chan struct{}), closed: make(chan struct{}),
	}
	f.locked(func() { s.runs, q.runs = append(s.runs, r), append(q.runs, r) })
	context.AfterFunc(ctx, r.close)
	f.running.Go(r.serve)
	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-s.crashed:
		return nil, backend.ErrBroken
	case <-r.head:
	}
	if err := s.awaitAwake(ctx); err != nil {
		return nil, err
	}
	f.locked(func() { r.headAt = f.now() })
	return &modelStream{ctx, r}, nil
}

// Attach implements generation.Engines.
func (p *silenceRouter) Attach(context.Context, fleet.Backend, backend.StreamID, int) (generation.Stream, error) {
	return nil, backend.ErrUnknownStream
}

func (r *modelRun) close() {
	r.server.f.locked(func() {
		if r.closedAt == 0 {
			r.closedAt = r.server.f.now()
			close(r.closed)
		}
	})
}

// serve runs the request until its end, the crash of the server, or until the server notices that the connection is closed.
func (r *modelRun) serve() {
	s, f := r.server, r.server.f
	defer f.locked(func() { r.endedAt, r.working = f.now(), false })
	if f.plan.earlyHead {
		close(r.head)
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-s.crashed:
		return
	case <-r.closed:
		return
	}
	f.locked(func() { r.working, r.workedAt = true, f.now() })
	if !r.work(r.q.prefill) {
		return
	}
	for i := r.from; i <= r.q.chunks; i++ {
		if !r.work(modelInterval) {
			return
		}
		if i == r.from && !f.plan.earlyHead {
			close(r.head)
		}
		f.locked(func() { r.made = i })
		r.out <- i
	}
	close(r.out)
}

// work works on the run for d. It returns false if the run ends before.
func (r *modelRun) work(d time.Duration) bool {
	select {
	case <-time.After(d):
		return !r.server.f.plan.frozen || r.server.awaitAwake(context.Background()) == nil
	case <-r.server.crashed:
	case <-r.closed:
		_ = r.server.awaitAwake(context.Background())
	}
	return false
}

// modelStream is the stream of a run.
type modelStream struct {
	ctx context.Context
	r   *modelRun
}

// Next implements generation.Stream.
func (s *modelStream) Next() (backend.Token, error) {
	select {
	case <-s.ctx.Done():
		return backend.Token{}, context.Cause(s.ctx)
	case <-s.r.server.crashed:
		return backend.Token{}, backend.ErrBroken
	case i, ok := <-s.r.out:
		if err := s.r.server.awaitAwake(s.ctx); err != nil {
			return backend.Token{}, err
		}
		if !ok {
			return backend.Token{}, io.EOF
		}
		return backend.Token{Index: i, Text: fmt.Appendf(nil, "%s %s %d %s", s.r.q.id, s.r.server.version, i, s.r.server.id)}, nil
	}
}

func (s *modelStream) Buffered() bool {
	return len(s.r.out) > 0 && !s.r.server.silentAt(s.r.server.f.now())
}
func (s *modelStream) Incarnation() string { return "" }
func (s *modelStream) Head() *backend.Head { return &backend.Head{Status: 200} }
func (s *modelStream) Close() error        { s.r.close(); return nil }

// Runs implements generation.RunQuerier.
func (f *silenceFleet) Runs(ctx context.Context, b fleet.Backend) (report generation.RunReport, err error) {
	s := f.server(b.ID)
	if s.isCrashed() {
		return report, errModelRefused
	}
	if err := s.awaitAwake(ctx); err != nil {
		return report, err
	}
	time.Sleep(modelLatency)
	report.ChunksMade = map[string]int{}
	f.locked(func() {
		for _, r := range s.runs {
			switch {
			case r.endedAt != 0:
			case !r.working:
				report.Queued++
			default:
				report.Active++
				if r.made > 0 {
					report.ChunksMade[r.q.id] = r.made
				}
			}
		}
	})
	return report, nil
}

// QueryRuns implements health.RunQuerier.
func (f *silenceFleet) QueryRuns(ctx context.Context, id string) (health.RunReport, error) {
	return f.Runs(ctx, fleet.Backend{ID: id})
}

// modelRequest is a request with its client.
type modelRequest struct {
	f       *silenceFleet
	id      string
	at      time.Duration
	router  int
	prefill time.Duration
	chunks  int
	leaves  time.Duration // when its client leaves, 0 if it doesn't
	// cameToFull reports that no server had a free slot when the request came.
	cameToFull bool
	runs       []*modelRun

	mu       sync.Mutex
	received []time.Duration // when the chunks arrived
	version  string
	servers  []string // that delivered, in order
	faults   []string
	res      generation.Result
}

// Begin implements generation.Sink.
func (q *modelRequest) Begin(generation.Position, *backend.Head) error { return nil }

// Flush implements generation.Sink.
func (q *modelRequest) Flush() error { return nil }

// Token implements generation.Sink. It checks that the chunks of an answer arrive in order, of one software version, and
// that no server delivers again after another one.
func (q *modelRequest) Token(index int, text []byte, _ string) error {
	var id, version, server string
	var i int
	if _, err := fmt.Sscan(string(text), &id, &version, &i, &server); err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.version == "" {
		q.version = version
	}
	if id != q.id || i != index || i != len(q.received)+1 || version != q.version {
		q.faults = append(q.faults, fmt.Sprintf("chunk %q after %d of %s", text, len(q.received), q.version))
	}
	if last := len(q.servers) - 1; last < 0 || q.servers[last] != server {
		if slices.Contains(q.servers, server) && q.runsAt(server) < 2 {
			q.faults = append(q.faults, fmt.Sprintf("chunk %q of a run that was left", text))
		}
		q.servers = append(q.servers, server)
	}
	q.received = append(q.received, q.f.now())
	return nil
}

func (q *modelRequest) runsAt(server string) (n int) {
	q.f.locked(func() {
		for _, r := range q.runs {
			if r.server.id == server {
				n++
			}
		}
	})
	return n
}
