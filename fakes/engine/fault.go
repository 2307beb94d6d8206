package engine

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/fakes/fault"
)

// One-shot faults of a single chunk.
const (
	faultCross  = "cross"
	faultRepeat = "repeat"
	faultSkip   = "skip"
)

// chunkFaults holds the one-shot faults that are armed, each for one chunk of a request.
type chunkFaults struct {
	count atomic.Int64 // length of list; lets take return without the lock if no fault is armed
	mu    sync.Mutex
	list  []chunkFault
}

type chunkFault struct {
	name    string
	request string // empty means any
}

func (s *chunkFaults) arm(name, request string, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range times {
		s.list = append(s.list, chunkFault{name, request})
	}
	s.count.Store(int64(len(s.list)))
}

// take removes the first fault that is armed for the request and returns its name, or "".
func (s *chunkFaults) take(request string) string {
	if s.count.Load() == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.list {
		if f.request == "" || f.request == request {
			s.list = append(s.list[:i], s.list[i+1:]...)
			s.count.Store(int64(len(s.list)))
			return f.name
		}
	}
	return ""
}

// Fault turns a switch:
//   - kill, start, freeze, thaw, cut, heal
//   - slow {ms}: adds ms to each step
//   - clock {ms}: sets the clock ahead, or behind if ms is negative
//   - stall {request,on}: stops the request's streams
//   - late {request,ms}: a stall that ends after ms
//   - endless {on,kind,ms}, cut-heads {on}: see fault.Server.Apply
//   - unfit {on,kind}: answers requests that continue a stream with one of UnfitAnswers
//   - break: resets all connections
//   - leave {on}: the engine refuses new requests since it is leaving
//   - ask {limit,rest,leaving}: what it asks of the routers in its answers
//   - lag {ms}: the lag of load reports and cache events
//   - cross, repeat, skip {request,n}: spoil the next n chunks: one has the id of another
//     request, is sent twice or is left out
func (e *Engine) Fault(name string, raw json.RawMessage) error {
	var args fault.Args
	if err := fault.Decode(raw, &args); err != nil {
		return err
	}
	switch name {
	case "kill":
		e.Kill()
	case "start":
		return e.Start()
	case "freeze":
		e.Freeze()
	case "thaw":
		e.Thaw()
	case "cut", "heal", "endless", "cut-heads":
		return e.server.Apply(name, args)
	case "slow":
		e.extraStep.Store(int64(args.Duration()))
	case "clock":
		e.clockOffset.Store(args.Duration().Milliseconds())
	case "stall":
		e.setStalled(args.Request, args.Enabled())
	case "late":
		e.setStalled(args.Request, true)
		time.AfterFunc(args.Duration(), func() { e.setStalled(args.Request, false) })
	case "unfit":
		e.setUnfit(args)
	case "break":
		e.server.Listener.Reset()
	case "leave":
		e.setLeaving(args.Enabled())
	case "ask":
		e.asks.Set(args)
	case "lag":
		e.setLag(args.MS)
	case faultCross, faultRepeat, faultSkip:
		e.chunkFaults.arm(name, args.Request, args.Times())
	default:
		return fault.ErrUnknown
	}
	return nil
}

// Close kills the engine.
func (e *Engine) Close() { e.Kill() }

// setStalled stops or resumes the streams of one request; the others go on. An empty
// request means all current streams.
func (e *Engine) setStalled(request string, on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if request == "" || s.key.request == request {
			s.stalled = on
		}
	}
}

func (e *Engine) setLag(ms float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.ReportLagMS, e.cfg.EventsLagMS = ms, ms
}

func (e *Engine) setLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.order.leaving = on
}
