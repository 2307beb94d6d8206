package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a model replica. Its streams have neither a length nor chunks: they end with their connection.
type Engine struct {
	ID, Service, Zone string
	Events            int           // of a stream
	Gap               time.Duration // between two events

	rig  *Rig
	addr string

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	runs  map[string]int // events made, by request
	life  int
	beats int
}

// StartEngine starts e and registers it in the store.
func (rig *Rig) StartEngine(e *Engine) error {
	e.rig, e.addr = rig, "127.0.0.1:0"
	return e.Start()
}

// Start starts a lifetime of the engine, at the address that it had, and registers it.
func (e *Engine) Start() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.ln, e.addr, e.conns, e.runs = ln, ln.Addr().String(), map[net.Conn]bool{}, map[string]int{}
	e.life++
	e.mu.Unlock()
	go e.accept(ln)
	e.Heartbeat()
	return nil
}

// name returns the id of the lifetime. The caller holds e.mu.
func (e *Engine) name() string { return fmt.Sprintf("%s-%d", e.ID, e.life) }

// Heartbeat writes the entry of e, unless e is down.
func (e *Engine) Heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ln == nil {
		return
	}
	e.beats++
	e.rig.Store.PutJSON("servers/"+e.name(), map[string]any{
		"service": e.Service, "address": e.addr, "zone": e.Zone, "version": "v1",
		"slots": 64, "state": "ready", "cold_left_ms": 0, "sequence": e.beats,
	})
}

// Crash ends the engine as the end of its process does: it listens no more, and its connections end.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.ln.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	e.rig.Recordf("%s has crashed, with %d connections open", e.name(), len(e.conns))
	e.ln, e.conns = nil, nil
}

// Expire removes the entry of the lifetime that has crashed.
func (e *Engine) Expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rig.Store.Delete("servers/" + e.name())
}

func (e *Engine) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.ln != ln {
			e.mu.Unlock()
			_ = c.Close()
			return
		}
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *Engine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !e.answer(c, req) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends with the answer.
func (e *Engine) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	name, active := e.name(), len(e.runs)
	runs := []string{}
	for run, made := range e.runs {
		runs = append(runs, fmt.Sprintf(`[%q,5000,%d,1]`, run, made))
	}
	e.mu.Unlock()
	expected := req.Header.Get("X-Expect-Instance")
	var reply string
	switch {
	case req.URL.Path == "/healthz":
		reply = response("200 OK", "X-Replica-Id: "+name, "")
	case expected != "" && expected != name:
		reply = response("421 Misdirected Request", "X-Attempt-Id: "+id, "")
	case req.URL.Path == "/report":
		reply = response("200 OK", "Content-Type: application/json", fmt.Sprintf(
			`{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":%d,`+
				`"kv_used":%d,"kv_total":55000,"kv_handles":0,"state":"ready","next":0,"runs":[%s]}`, active, 500*active, strings.Join(runs, ",")))
	case id == "":
		reply = response("404 Not Found", "X-Replica-Id: "+name, "")
	default:
		e.stream(c, req, id, name)
		return false
	}
	_, err := io.WriteString(c, reply)
	return err == nil
}

// stream runs a request. The end of the connection is the end of its answer.
func (e *Engine) stream(c net.Conn, req *http.Request, id, name string) {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if there is none
	e.rig.Recordf("%s runs %s from event %d", name, id, last+1)
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-of-" + name +
		"\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for n := last + 1; n <= e.Events; n++ {
		time.Sleep(e.Gap)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		e.made(id, n)
	}
	e.mu.Lock()
	delete(e.runs, id)
	e.mu.Unlock()
	e.rig.Recordf("%s has sent the whole stream %s", name, id)
}

func (e *Engine) made(id string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id] = n
}
