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
	shotCross  = "cross"
	shotRepeat = "repeat"
	shotSkip   = "skip"
)

// shots holds the armed one-shot faults.
type shots struct {
	armed atomic.Int64 // lets the usual case pass without the lock
	mu    sync.Mutex
	list  []shot
}

type shot struct {
	name    string
	request string // empty means any
}

func (s *shots) arm(name, request string, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range times {
		s.list = append(s.list, shot{name, request})
	}
	s.armed.Store(int64(len(s.list)))
}

// take uses up the first fault armed for the request and returns its name.
func (s *shots) take(request string) string {
	if s.armed.Load() == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.list {
		if f.request == "" || f.request == request {
			s.list = append(s.list[:i], s.list[i+1:]...)
			s.armed.Store(int64(len(s.list)))
			return f.name
		}
	}
	return ""
}

// Fault turns a switch: kill, start, freeze, thaw, cut, heal, slow {ms} (longer
// steps), clock {ms} (ahead, or behind if below 0), stall {request,on}, late {request,ms} (a stall that ends by itself),
// leave {on}, lag {ms} of load reports and cache events, and the one-shot cross, repeat and skip {request,n}.
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
	case "cut", "heal":
		return e.server.Apply(name, args)
	case "slow":
		e.slow.Store(int64(args.Duration()))
	case "clock":
		e.clock.Store(args.Duration().Milliseconds())
	case "stall":
		e.stall(args.Request, args.Enabled())
	case "late":
		e.stall(args.Request, true)
		time.AfterFunc(args.Duration(), func() { e.stall(args.Request, false) })
	case "leave":
		e.leave(args.Enabled())
	case "lag":
		e.lag(args.MS)
	case shotCross, shotRepeat, shotSkip:
		e.shots.arm(name, args.Request, args.Times())
	default:
		return fault.ErrUnknown
	}
	return nil
}

// Close ends the engine for good.
func (e *Engine) Close() { e.Kill() }

// stall silences one request's streams while the others go on; an empty
// request means all that are there now.
func (e *Engine) stall(request string, on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if request == "" || s.key.request == request {
			s.stalled = on
		}
	}
}

func (e *Engine) lag(ms float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.ReportLagMS, e.cfg.EventsLagMS = ms, ms
}

func (e *Engine) leave(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.order.leaving = on
}
