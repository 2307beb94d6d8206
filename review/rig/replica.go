package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Replica is a replica of a service that is no model engine. It speaks HTTP/1.1 on raw connections, so that a
// case decides which bytes are sent when.
type Replica struct {
	ID, Service, Zone string
	Slots, Queue      int
	Work              time.Duration
	// Spoil, if set, is asked for each answer whether its connection gets a second copy of it, at the point where
	// the next answer is expected.
	Spoil func(refused bool) bool

	rig   *Rig
	ln    net.Listener
	slots chan struct{}

	mu   sync.Mutex
	open int // requests that run or wait
	runs map[string]int
	// of the entry in the store
	silent bool
	beats  int
	beatAt time.Time
}

// StartReplica starts r and registers it in the store.
func (rig *Rig) StartReplica(r *Replica) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.rig, r.ln, r.slots, r.runs = rig, ln, make(chan struct{}, r.Slots), map[string]int{}
	go r.accept()
	r.Heartbeat()
	return nil
}

// Heartbeat writes the entry of r, unless r is cut off from the store.
func (r *Replica) Heartbeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	r.beats++
	r.beatAt = time.Now()
	r.rig.Store.PutJSON("servers/"+r.ID, map[string]any{
		"service": r.Service, "address": r.ln.Addr().String(), "zone": r.Zone, "version": "v1",
		"slots": r.Slots, "state": "ready", "cold_left_ms": 0, "sequence": r.beats,
	})
}

// SetSilent cuts r off from the store, or ends that.
func (r *Replica) SetSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

// Expire removes the entry of r if its last heartbeat is longer ago than the given time, as the store does.
func (r *Replica) Expire(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, listed := r.rig.Store.Get("servers/" + r.ID); !listed || time.Since(r.beatAt) < after {
		return
	}
	r.rig.Store.Delete("servers/" + r.ID)
	r.rig.Recordf("the entry of %s has expired", r.ID)
}

// Runs returns how often each request has run.
func (r *Replica) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for id, n := range r.runs {
		out[id] = n
	}
	return out
}

func (r *Replica) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve serves one request after the other on a connection.
func (r *Replica) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var second string // a copy of an earlier answer, which is sent first
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if second != "" {
			r.rig.Recordf("%s sends a second copy of an earlier answer where that to %s is due: %s", r.ID, req.Header.Get("X-Attempt-Id"), firstLine(second))
			if _, err := io.WriteString(c, second); err != nil {
				return
			}
			second = ""
		}
		answer, refused := r.answer(req)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if r.Spoil != nil && req.Method == http.MethodPost && r.Spoil(refused) {
			second = answer
		}
	}
}

func firstLine(answer string) string {
	head, _, _ := strings.Cut(answer, "\r\n\r\n")
	return strings.ReplaceAll(head, "\r\n", "; ")
}

// answer runs a request, or refuses it while all places are taken, and returns the bytes of the answer.
func (r *Replica) answer(req *http.Request) (answer string, refused bool) {
	id := req.Header.Get("X-Attempt-Id")
	switch {
	case req.URL.Path == "/healthz":
		return response("200 OK", "X-Replica-Id: "+r.ID, ""), false
	case req.Header.Get("X-Expect-Instance") != "" && req.Header.Get("X-Expect-Instance") != r.ID:
		return response("421 Misdirected Request", "X-Attempt-Id: "+id, ""), true
	}
	r.mu.Lock()
	load := fmt.Sprintf("X-Replica-Load: %d,%d,%d", min(r.open, r.Slots), max(r.open-r.Slots, 0), r.Slots)
	if r.open >= r.Slots+r.Queue {
		r.mu.Unlock()
		r.rig.Recordf("%s refuses %s: full", r.ID, id)
		return response("503 Service Unavailable", "X-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\n"+load, ""), true
	}
	r.open++
	r.mu.Unlock()
	r.slots <- struct{}{}
	r.mu.Lock()
	r.runs[id]++
	n := r.runs[id]
	r.mu.Unlock()
	r.rig.Recordf("%s runs %s (run %d here)", r.ID, id, n)
	time.Sleep(r.Work)
	<-r.slots
	r.mu.Lock()
	r.open--
	r.mu.Unlock()
	return response("200 OK", "X-Attempt-Id: "+id+"\r\nX-Response-Seal: seal-of-"+r.ID+"\r\n"+load, "answer to "+id), false
}

func response(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}
