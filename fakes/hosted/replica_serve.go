package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	r.addOpen(1)
	defer r.addOpen(-1)
	if r.resetsUpload(w, req) {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.RecordBytes > 0 {
		body = body[:min(len(body), r.RecordBytes)]
	}
	a := &Arrival{
		At: time.Now(), ID: req.Header.Get("X-Attempt-Id"), Method: req.Method, Target: req.RequestURI,
		Header: req.Header.Clone(), Body: string(body),
	}
	f, refuse := r.receive(a)
	h := w.Header()
	a.Asks.set(h)
	h.Set("X-Attempt-Id", a.ID)
	h.Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", r.OpenRequests(), r.room()))
	if refuse != 0 {
		h.Set("X-Not-Executed", "1")
		if a.Asks.Rest != "" {
			h.Set("Retry-After", a.Asks.Rest)
		}
		w.WriteHeader(refuse)
		return
	}
	if f.NoResponse {
		<-req.Context().Done()
		return
	}
	if a.CrashesReplica() {
		r.crashDuring(w)
	}
	r.setHeaders(h, f)
	if r.failsRequest(f, a.ID) {
		w.WriteHeader(f.FailStatus)
		io.WriteString(w, "failed")
		return
	}
	switch {
	case serveContinuation(w, a, f):
		return
	case f.Malformed != "":
		serveMalformed(w, a.ID, f.Malformed)
		return
	case f.Endless.Kind != "":
		r.serveEndless(w, a, f.Endless)
		return
	case r.Engine && f.NoLength:
		r.serveUnframed(w, a, f)
		return
	case r.Engine:
		r.serveStream(w, req, a, f)
		return
	}
	time.Sleep(r.slowed(r.Work, a.ID))
	r.serveComplete(w, a, f)
}

// crashDuring crashes the replica while it runs a request. An engine first sends the
// response header; other replicas send nothing.
func (r *Replica) crashDuring(w http.ResponseWriter) {
	if r.Engine {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
	}
	r.Crash()
	if r.OnCrash != nil {
		r.OnCrash(r)
	}
	panic(http.ErrAbortHandler)
}

// setHeaders sets the headers of a response, as changed by the faults.
func (r *Replica) setHeaders(h http.Header, f Faults) {
	if f.WrongID {
		h.Set("X-Attempt-Id", "another")
	}
	if !f.NoSeal {
		h.Set("X-Response-Seal", "seal-of-"+r.ID)
	}
	if f.Encoded {
		h.Set("Content-Encoding", "gzip")
	}
}

// receive records a request and returns the faults in force and the status of a refusal, or
// 0. If the request names a replica for a copy of the run, receive stores the copy at that
// replica after it has released the lock of this replica. Otherwise two replicas that store
// copies for each other would deadlock.
func (r *Replica) receive(a *Arrival) (f Faults, refuse int) {
	f, refuse = r.recordArrival(a)
	if standby := a.Header.Get("X-Kv-Backup"); refuse == 0 && standby != "" {
		r.copyTo(standby, a.ID)
	}
	return f, refuse
}

func (r *Replica) recordArrival(a *Arrival) (f Faults, refuse int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Asks = r.asks
	r.arrivals = append(r.arrivals, a)
	if expected := a.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		return r.faults, http.StatusMisdirectedRequest
	}
	if r.faults.Refuse || a.Asks.Rest != "" {
		return r.faults, http.StatusServiceUnavailable
	}
	if r.Room > 0 && r.openRequests > r.Room {
		a.NoRoom = true
		return r.faults, http.StatusServiceUnavailable
	}
	if a.Header.Get("Kv-From") != "" && !r.copies[a.ID] {
		return r.faults, http.StatusServiceUnavailable
	}
	a.Ran = true
	if a.chunksBefore() > 0 {
		a.Unfit = r.faults.Unfit
	}
	return r.faults, 0
}

func (r *Replica) serveComplete(w http.ResponseWriter, a *Arrival, f Faults) {
	text := CompleteResponse(a.ID)
	if strings.HasSuffix(a.Target, LargePath) {
		text += strings.Repeat("x", r.LargeAnswer)
	}
	switch {
	case f.NoLength:
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nConnection: close\r\n\r\n%s", a.ID, text)
		buf.Flush()
		conn.Close()
	case f.Truncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	default:
		io.WriteString(w, text)
	}
	r.markEnded(a)
}

func (r *Replica) serveStream(w http.ResponseWriter, req *http.Request, a *Arrival, f Faults) {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= r.Chunks; n++ {
		if !r.waitForChunk(req) {
			return
		}
		chunk := r.chunk(a.ID, n)
		if (f.Truncated || f.BreaksOff && from == 0) && n == r.Chunks/2 {
			io.WriteString(w, chunk[:len(chunk)/2])
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, chunk); err != nil {
			return
		}
		if f.RepeatChunks {
			io.WriteString(w, chunk)
		}
		w.(http.Flusher).Flush()
		r.markChunk(a, n)
	}
	r.markEnded(a)
}

func (r *Replica) markChunk(a *Arrival, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Chunks = n
}

// serveUnframed serves a stream that has neither a length nor chunks and ends with its connection, also when the replica
// crashes.
func (r *Replica) serveUnframed(w http.ResponseWriter, a *Arrival, f Faults) {
	from, _ := strconv.Atoi(a.Header.Get("Last-Event-Id"))
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(buf, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
	w.Header().Write(buf)
	fmt.Fprint(buf, "Connection: close\r\n\r\n")
	if err := buf.Flush(); err != nil {
		return
	}
	for n := from + 1; n <= r.Chunks; n++ {
		select {
		case <-r.ended:
			return
		case <-time.After(r.slowed(r.ChunkGap, a.ID)):
		}
		if (f.Truncated || f.BreaksOff && from == 0) && n == r.Chunks/2 {
			chunk := r.chunk(a.ID, n)
			buf.WriteString(chunk[:len(chunk)/2])
			buf.Flush()
			return
		}
		buf.WriteString(r.chunk(a.ID, n))
		if err := buf.Flush(); err != nil {
			return
		}
		if f.CrashAfter == n {
			r.Crash()
			return
		}
	}
	r.markEnded(a)
}

// waitForChunk waits until the next chunk is due. It returns false if the request ends before.
func (r *Replica) waitForChunk(req *http.Request) bool {
	t := time.NewTimer(r.slowed(r.ChunkGap, req.Header.Get("X-Attempt-Id")))
	defer t.Stop()
	select {
	case <-req.Context().Done():
		return false
	case <-t.C:
		return true
	}
}

func (r *Replica) markEnded(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Completed = true
}

// slowed returns how long work takes that takes d without faults.
func (r *Replica) slowed(d time.Duration, id string) time.Duration {
	if r.Length != nil {
		d = time.Duration(float64(d) * r.Length(id))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return d * time.Duration(max(r.faults.SlowBy, 1))
}
