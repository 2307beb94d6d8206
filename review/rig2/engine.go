package rig2

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run is one run of an Engine.
type Run struct {
	ID     string
	began  time.Time
	ended  time.Time
	events []time.Time
	Whole  bool
}

// Engine is the script of a replica that is a model engine: a stream of numbered events. Its report tells all runs, as they were some
// time ago.
type Engine struct {
	Lag    time.Duration             // age of what a report tells
	Events int                       // of a stream
	Pause  func(n int) time.Duration // before the n-th event of a run

	mu   sync.Mutex
	runs []*Run
}

// Runs returns all runs.
func (e *Engine) Runs() []*Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Run(nil), e.runs...)
}

// Report returns the body of a report.
func (e *Engine) Report() string {
	at := time.Now().Add(-e.Lag)
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []any{}
	active := 0
	for _, r := range e.runs {
		if r.began.After(at) || !r.ended.IsZero() && !r.ended.After(at) {
			continue
		}
		active++
		made := 0
		for _, t := range r.events {
			if !t.After(at) {
				made++
			}
		}
		if made > 0 {
			runs = append(runs, []any{r.ID, 100 + 7*made, made, 5})
		}
	}
	b, _ := json.Marshal(map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1,
		"queued": 0, "active": active, "kv_used": 100 * active, "kv_total": 55000, "kv_handles": 0, "runs": runs, "state": "ready",
	})
	return string(b)
}

// Serve answers one request with a stream. A run ends when its connection is closed.
func (e *Engine) Serve(a *Arrival) bool {
	from := 1
	if last := a.Head.Get("Last-Event-Id"); last != "" {
		fmt.Sscan(last, &from)
		from++
	}
	r := &Run{ID: a.ID(), began: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, r)
	e.mu.Unlock()
	next := make(chan error, 1) // the next request, or the end of the connection
	go func() {
		_, err := a.Reader.Peek(1)
		next <- err
	}()
	end := func(whole bool) bool {
		e.mu.Lock()
		r.ended, r.Whole = time.Now(), whole
		e.mu.Unlock()
		a.Replica.rig.Log("replica %s ends %s after event %d, whole %v", a.Replica.ID, r.ID, from-1+len(r.events), whole)
		return false
	}
	if _, err := io.WriteString(a.Conn, a.HeadOf(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"+e.load())); err != nil {
		return end(false)
	}
	for n := from; n <= e.Events; n++ {
		select {
		case <-next:
			return end(false)
		case <-time.After(e.Pause(n - from + 1)):
		}
		ev := fmt.Sprintf("id: %d\ndata: %s event %d\n\n", n, a.ID(), n)
		if _, err := fmt.Fprintf(a.Conn, "%x\r\n%s\r\n", len(ev), ev); err != nil {
			return end(false)
		}
		e.mu.Lock()
		r.events = append(r.events, time.Now())
		e.mu.Unlock()
	}
	if _, err := io.WriteString(a.Conn, "0\r\n\r\n"); err != nil {
		return end(false)
	}
	end(true)
	return <-next == nil
}

// load returns the header that tells the engine's load.
func (e *Engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for _, r := range e.runs {
		if r.ended.IsZero() {
			running++
		}
	}
	return fmt.Sprintf("X-Replica-Load: %d,0,64\r\n", running)
}
