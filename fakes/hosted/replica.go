package hosted

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/fakes/endless"
	"wigeondale/fakes/fault"
)

// HealthPath is the path of the replicas' health check. KVCapacity is the capacity of an engine's
// KV cache in tokens.
const (
	HealthPath = "/healthz"
	KVCapacity = 55000
)

// defaultRoom is the number of slots that a replica states if its room is not limited.
const defaultRoom = 8

// CrashMark in the body of a request makes every replica crash that starts to run it.
const CrashMark = fault.CrashMark

// CrashPart is the id of a prompt part that makes every replica crash that starts to answer a request
// with that part.
const CrashPart = "badc0de5"

// Arrival is one request as a replica received it.
type Arrival struct {
	At     time.Time
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
	Ran    bool
	// NoRoom is set if it was refused for want of room.
	NoRoom bool
	// Completed is set when the run has completed. It stays false for a run that was
	// aborted.
	Completed bool
	// Chunks is the number of chunks of a stream that it has sent.
	Chunks int
	// Unfit is the one of UnfitAnswers that it got; empty for none.
	Unfit string
	// Asks is what the replica asked in its answer.
	Asks Asks
}

// Replica is a fake replica of a model engine or of another service. Its responses are a
// function of the request's id, so that two runs of a request produce the same bytes.
type Replica struct {
	ID        string
	StartedAt int64 // Unix milliseconds of its start; 0 if the replica does not publish it
	Service   string
	Domain    string
	Version   string // of the service; empty for v1
	Engine    bool
	// ShowsVersion makes each chunk of a stream name the version of the replica.
	ShowsVersion bool
	Listen       string // address to listen on; empty for any
	// PromptTokens and TokensPerChunk are what runs hold in memory by its reports. With 0, a run is
	// reported with one token and one chunk.
	PromptTokens, TokensPerChunk int
	Chunks                       int           // number of chunks in a stream
	ChunkGap                     time.Duration // time between two chunks
	Room                         int           // requests that it takes at once; 0 for any number
	Work                         time.Duration // time to serve a request that is not streamed
	Slots                        int           // that its entry states; 0 for defaultRoom
	// Length returns the factor of Work and ChunkGap for a request. With nil, all are equally long.
	Length func(id string) float64
	// RecordBytes bounds what is recorded of a body; 0 for no bound. LargeAnswer is the number of bytes added to answers to paths
	// that end in LargePath.
	RecordBytes, LargeAnswer int
	// OnCrash, if set, is called after a request has made the replica crash.
	OnCrash func(r *Replica)

	server   *http.Server
	ln       net.Listener
	listener *fault.Listener

	mu           sync.Mutex
	arrivals     []*Arrival
	copies       map[string]bool // ids of the runs of which this replica has a copy
	faults       Faults
	faultsSetAt  time.Time // when faults were set
	asks         Asks
	openRequests int           // requests in progress
	ended        chan struct{} // closed by Crash
	endOnce      sync.Once
	replicaAt    func(addr string) *Replica
}

// Faults holds the fault switches of a replica. They stay set until the next call of SetFaults.
type Faults struct {
	Refuse       bool          // responds with 503, marked as not executed
	FailStatus   int           // status of its own responses after the run; 0 for success
	FailShare    float64       // share of the requests that get FailStatus; 0 for all
	FailAfter    time.Duration // FailStatus applies this long after SetFaults; 0 for at once
	WrongID      bool          // responds with another request's id
	NoSeal       bool
	Encoded      bool
	Truncated    bool   // closes the connection in the middle of the response
	NoLength     bool   // neither a length nor chunks: the end of the connection ends the response, a stream too
	CrashAfter   int    // with NoLength: the replica crashes after this number of chunks, and the connection ends cleanly; 0 for never
	NoResponse   bool   // reads requests and never responds
	RepeatChunks bool   // sends each chunk of a stream twice
	SlowBy       int    // factor of the times Work and ChunkGap; 0 for 1
	BreaksOff    bool   // breaks streams from the first chunk on off in their middle
	Continuation string // complete answer to requests that continue a stream, {id} being the id of the attempt; empty for the rest of the stream
	Unfit        string // name of one of UnfitAnswers, which answers requests that continue a stream; empty for none
	ResetUploads bool   // answers long uploads early, without a length, and resets the connection
	Malformed    string // one of MalformedHeads, which it sends for each answer; empty for none
	// Endless, if its kind is set, makes all responses endless: half of the response, and then bytes
	// that are no response. Its header and body are not used.
	Endless endless.Answer
}

// Start starts the replica. replicaAt returns the replica at an address; it is used to
// store copies of runs at other replicas.
func (r *Replica) Start(replicaAt func(addr string) *Replica) error {
	if r.Listen == "" {
		r.Listen = "127.0.0.1:0"
	}
	r.listener = fault.NewListener(r.Listen)
	ln, err := r.listener.Start()
	if err != nil {
		return err
	}
	r.ln, r.replicaAt, r.copies, r.ended = ln, replicaAt, map[string]bool{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-list", r.unlessEndless(r.serveList))
	mux.HandleFunc("POST /kv-move", r.unlessEndless(r.serveMove))
	mux.HandleFunc("GET /report", r.unlessEndless(r.serveReport))
	mux.HandleFunc("GET "+HealthPath, r.unlessEndless(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Replica-Id", r.ID) }))
	mux.HandleFunc("DELETE /kv-handle/{name}", r.unlessEndless(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: r.withAsks(mux)}
	go r.server.Serve(ln)
	return nil
}

// Addr returns the address on which the replica listens.
func (r *Replica) Addr() string { return r.ln.Addr().String() }

// Listener returns the listener, which can cut, delay and reset the replica's connections.
func (r *Replica) Listener() *fault.Listener { return r.listener }

// Crash closes all connections and ends the replica.
func (r *Replica) Crash() {
	r.endOnce.Do(func() { close(r.ended) })
	r.server.Close()
}

// Freeze makes the replica silent until Thaw: it accepts connections, and neither reads nor sends anything. Of
// freezes that overlap each needs a Thaw of its own.
func (r *Replica) Freeze() { r.listener.Hold() }

// Thaw ends one freeze, if there is one. When the last one has ended, the replica reads and sends what was held
// back.
func (r *Replica) Thaw() { r.listener.Release() }

// SetFaults replaces the faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults, r.faultsSetAt = f, time.Now()
}

// SetSlow sets SlowBy and leaves the other faults as they are.
func (r *Replica) SetSlow(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.SlowBy = by
}

// failsRequest reports whether the replica responds to a request with FailStatus. If
// FailShare is set, only that share of the requests fails, selected by a hash of the
// request's id.
func (r *Replica) failsRequest(f Faults, id string) bool {
	r.mu.Lock()
	since := time.Since(r.faultsSetAt)
	r.mu.Unlock()
	if f.FailStatus == 0 || since < f.FailAfter {
		return false
	}
	return f.FailShare == 0 || float64(xxhash.Sum64String(id)%1000) < 1000*f.FailShare
}

// Entry returns the value of the replica's entry in the store, with the given state (ready
// or draining).
func (r *Replica) Entry(state string) map[string]any {
	entry := map[string]any{
		"service": r.Service, "address": r.Addr(), "zone": r.Domain, "version": r.VersionName(),
		"slots": cmp.Or(r.Slots, defaultRoom), "state": state, "cold_left_ms": 0, "sequence": 1,
	}
	return r.withStartTime(entry)
}

// withStartTime adds the replica's start time to an entry or a report, unless StartedAt is
// 0, which means that the replica publishes no start time.
func (r *Replica) withStartTime(values map[string]any) map[string]any {
	if r.StartedAt != 0 {
		values["born"] = r.StartedAt
	}
	return values
}

// Restart starts a new incarnation of a replica that has crashed, with its id and address but
// none of its state. startedAt is the start time in Unix milliseconds.
func (r *Replica) Restart(startedAt int64) (*Replica, error) {
	return r.RestartAs(r.Version, startedAt)
}

// RestartAs does the same with another version of the software.
func (r *Replica) RestartAs(version string, startedAt int64) (*Replica, error) {
	restarted := &Replica{
		ID: r.ID, StartedAt: startedAt, Service: r.Service, Domain: r.Domain, Version: version, Engine: r.Engine,
		ShowsVersion: r.ShowsVersion, Listen: r.Addr(), Chunks: r.Chunks, ChunkGap: r.ChunkGap, OnCrash: r.OnCrash,
		Room: r.Room, Work: r.Work, Slots: r.Slots, Length: r.Length,
	}
	return restarted, restarted.Start(r.replicaAt)
}

// Arrivals returns the requests received so far.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Arrival, len(r.arrivals))
	for i, a := range r.arrivals {
		out[i] = *a
	}
	return out
}

// OpenRequests returns the number of requests in progress.
func (r *Replica) OpenRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.openRequests
}

func (r *Replica) addOpen(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openRequests += n
}

// Chunk returns chunk n of the stream that responds to a request, as a server-sent event.
func Chunk(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
}

// VersionedChunk returns chunk n of a stream from a replica that shows its version.
func VersionedChunk(id string, n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d@%s\n\n", n, id, n, version)
}

// chunk returns chunk n of the stream that responds to a request.
func (r *Replica) chunk(id string, n int) string {
	if r.ShowsVersion {
		return VersionedChunk(id, n, r.VersionName())
	}
	return Chunk(id, n)
}

// VersionName returns the version in the replica's entry.
func (r *Replica) VersionName() string { return cmp.Or(r.Version, "v1") }

// LargePath is the end of paths with large answers.
const LargePath = "/large"

// CompleteResponse returns the complete response to a request from a service that is not a model engine.
func CompleteResponse(id string) string { return "answer to " + id }
