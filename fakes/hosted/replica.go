package hosted

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/fakes/fault"
)

// CheckPath is where replicas say that they are healthy, and Memory is how many tokens
// an engine holds.
const (
	HealthPath = "/healthz"
	KVCapacity = 55000
)

// CrashMark in a body makes each replica crash that begins to run the request.
const CrashMark = fault.CrashMark

// Arrival is one request as a replica saw it.
type Arrival struct {
	At     time.Time
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
	Ran    bool
	// Completed is set when the run ended by itself; a run that was cut stays false.
	Completed bool
}

// Replica is a stand-in for one replica, as a model engine or a plain service.
// Its answers are a function of the request's id, so that two runs of a request
// give the same bytes.
type Replica struct {
	ID        string
	StartedAt int64 // Unix milliseconds of its start; 0 for a replica that doesn't say
	Service   string
	Domain    string
	Version   string // of its software; empty for v1
	Engine    bool
	Listen    string        // address; empty for any
	Chunks    int           // of a stream
	ChunkGap  time.Duration // between them
	// OnCrash, if set, is told that a request made the replica crash.
	OnCrash func(r *Replica)

	server *http.Server
	ln     net.Listener
	link   *fault.Listener

	mu       sync.Mutex
	arrivals []*Arrival
	copies   map[string]bool // ids of runs of which a copy lies here
	faults   Faults
	set      time.Time     // when they were
	open     int           // requests under way
	frozen   chan struct{} // closed when the replica goes on
	peers    func(addr string) *Replica
}

// Faults are the switches of a replica. Each holds until it is set anew.
type Faults struct {
	Refuse       bool          // 503, not executed
	FailStatus   int           // its own failure, after the run
	FailShare    float64       // of the requests; 0 for all
	FailAfter    time.Duration // since the fault was set; 0 for at once
	WrongID      bool          // echoes another request's id
	NoSeal       bool
	Encoded      bool
	Truncated    bool // ends within the answer
	NoLength     bool // no length: the answer ends with its connection
	NoResponse   bool // takes requests and says nothing
	RepeatChunks bool // sends each piece of a stream twice
}

// Start begins to listen. peers finds the replica at an address, for copies.
func (r *Replica) Start(peers func(addr string) *Replica) error {
	if r.Listen == "" {
		r.Listen = "127.0.0.1:0"
	}
	r.link = fault.NewListener(r.Listen)
	ln, err := r.link.Start()
	if err != nil {
		return err
	}
	r.ln, r.peers, r.copies = ln, peers, map[string]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-list", r.serveList)
	mux.HandleFunc("POST /kv-move", r.serveMove)
	mux.HandleFunc("GET /report", r.serveReport)
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Replica-Id", r.ID) })
	mux.HandleFunc("DELETE /kv-handle/{name}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(ln)
	return nil
}

// Addr is where the replica listens.
func (r *Replica) Addr() string { return r.ln.Addr().String() }

// Listener is where the replica's connections can be cut, delayed and reset.
func (r *Replica) Listener() *fault.Listener { return r.link }

// Crash cuts every connection and ends the replica.
func (r *Replica) Crash() { r.server.Close() }

// Freeze leaves everything as it is, without a sign, until Thaw.
func (r *Replica) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = make(chan struct{})
}

// Thaw ends Freeze.
func (r *Replica) Thaw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen != nil {
		close(r.frozen)
		r.frozen = nil
	}
}

// SetFaults sets the faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults, r.set = f, time.Now()
}

// fails tells whether a request is among those that the replica fails.
func (r *Replica) fails(f Faults, id string) bool {
	r.mu.Lock()
	since := time.Since(r.set)
	r.mu.Unlock()
	if f.FailStatus == 0 || since < f.FailAfter {
		return false
	}
	return f.FailShare == 0 || float64(xxhash.Sum64String(id)%1000) < 1000*f.FailShare
}

// Entry is the replica's item in the store.
func (r *Replica) Entry(state string) map[string]any {
	entry := map[string]any{
		"service": r.Service, "address": r.Addr(), "zone": r.Domain, "version": cmp.Or(r.Version, "v1"),
		"slots": 8, "state": state, "cold_left_ms": 0, "sequence": 1,
	}
	return r.withBorn(entry)
}

// withBorn adds the time of birth to what the replica says of itself.
func (r *Replica) withBorn(said map[string]any) map[string]any {
	if r.StartedAt != 0 {
		said["born"] = r.StartedAt
	}
	return said
}

// Restart starts a later lifetime of a replica that crashed, under its id and at its
// address, with nothing of before.
func (r *Replica) Restart(born int64) (*Replica, error) {
	again := &Replica{
		ID: r.ID, StartedAt: born, Service: r.Service, Domain: r.Domain, Version: r.Version, Engine: r.Engine,
		Listen: r.Addr(), Chunks: r.Chunks, ChunkGap: r.ChunkGap, OnCrash: r.OnCrash,
	}
	return again, again.Start(r.peers)
}

// Arrivals returns the requests seen so far.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Arrival, len(r.arrivals))
	for i, a := range r.arrivals {
		out[i] = *a
	}
	return out
}

// OpenRequests is the number of requests under way.
func (r *Replica) OpenRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *Replica) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open += n
}

// Chunk is event n of the answer to the request with id.
func Chunk(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
}

// CompleteResponse is the whole answer of a plain service to the request with id.
func CompleteResponse(id string) string { return "answer to " + id }

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	r.count(1)
	defer r.count(-1)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	a := &Arrival{
		At: time.Now(), ID: req.Header.Get("X-Attempt-Id"), Method: req.Method, Target: req.RequestURI,
		Header: req.Header.Clone(), Body: string(body),
	}
	f, refuse := r.arrive(a)
	h := w.Header()
	h.Set("X-Attempt-Id", a.ID)
	h.Set("X-Replica-Load", "1,0,8")
	if refuse != 0 {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(refuse)
		return
	}
	if f.NoResponse {
		<-req.Context().Done()
		return
	}
	if strings.Contains(a.Body, CrashMark) {
		r.crashUnder(w)
	}
	r.dress(h, f)
	if r.fails(f, a.ID) {
		w.WriteHeader(f.FailStatus)
		io.WriteString(w, "failed")
		return
	}
	if r.Engine {
		r.stream(w, req, a, f)
		return
	}
	r.whole(w, a, f)
}

// crashUnder ends the replica in the middle of the answer that w would take.
func (r *Replica) crashUnder(w http.ResponseWriter) {
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

// dress sets the headers of an answer, with their faults.
func (r *Replica) dress(h http.Header, f Faults) {
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

// arrive notes the request and says whether the replica refuses it. The copy is put at
// the other replica without a lock held here: two that keep each other's copies would
// wait for each other for ever.
func (r *Replica) arrive(a *Arrival) (f Faults, refuse int) {
	f, refuse = r.note(a)
	if standby := a.Header.Get("X-Kv-Backup"); refuse == 0 && standby != "" {
		r.copyTo(standby, a.ID)
	}
	return f, refuse
}

func (r *Replica) note(a *Arrival) (f Faults, refuse int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	if expected := a.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		return r.faults, http.StatusMisdirectedRequest
	}
	if r.faults.Refuse {
		return r.faults, http.StatusServiceUnavailable
	}
	if a.Header.Get("Kv-From") != "" && !r.copies[a.ID] {
		return r.faults, http.StatusServiceUnavailable
	}
	a.Ran = true
	return r.faults, 0
}

func (r *Replica) whole(w http.ResponseWriter, a *Arrival, f Faults) {
	text := CompleteResponse(a.ID)
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
	r.ended(a)
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, a *Arrival, f Faults) {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= r.Chunks; n++ {
		if !r.wait(req) {
			return
		}
		piece := Chunk(a.ID, n)
		if f.Truncated && n == r.Chunks/2 {
			io.WriteString(w, piece[:len(piece)/2])
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		if f.RepeatChunks {
			io.WriteString(w, piece)
		}
		w.(http.Flusher).Flush()
	}
	r.ended(a)
}

// wait passes the time to the next piece, or longer while the replica is frozen.
func (r *Replica) wait(req *http.Request) bool {
	t := time.NewTimer(r.ChunkGap)
	defer t.Stop()
	select {
	case <-req.Context().Done():
		return false
	case <-t.C:
	}
	r.mu.Lock()
	frozen := r.frozen
	r.mu.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-req.Context().Done():
		return false
	case <-frozen:
		return true
	}
}

func (r *Replica) ended(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Completed = true
}
