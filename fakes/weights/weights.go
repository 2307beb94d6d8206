// Package weights is a stand-in for the platform's rate-limited weight store.
package weights

import (
	"context"
	"encoding/json"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"wigeondale/fakes/fault"
	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("fake weight store")

const (
	pieceBytes        = 64 << 10
	burstSeconds      = 0.1 // makes up for timers that fire late
	retryAfterSeconds = "1"
)

// Store is the stand-in service.
type Store struct {
	server  *fault.Server
	sizes   map[string]int64
	limiter *rate.Limiter

	mu      sync.Mutex
	loading int
	most    int // the most loads that were under way at once
}

// New prepares the store at addr. Sizes are in bytes, by model/version or
// model/version/adapter. A rate of zero means no limit.
func New(addr string, bytesPerSecond float64, sizes map[string]int64) *Store {
	burst := max(pieceBytes, int(bytesPerSecond*burstSeconds))
	s := &Store{sizes: sizes, limiter: rate.NewLimiter(limitOf(bytesPerSecond), burst)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{ref...}", s.get) // HEAD too
	s.server = fault.NewServer(addr, mux)
	return s
}

func limitOf(bytesPerSecond float64) rate.Limit {
	if bytesPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(bytesPerSecond)
}

// ID is the name under which the control listener knows the store.
func (s *Store) ID() string { return "weights" }

// Addr is the address of the store.
func (s *Store) Addr() string { return s.server.Addr() }

// Start begins to serve.
func (s *Store) Start() error { return Error.Wrap(s.server.Start()) }

// Close ends the service.
func (s *Store) Close() { s.server.Kill() }

// Fault turns the common switches of an HTTP stand-in.
func (s *Store) Fault(name string, raw json.RawMessage) error {
	var args fault.Args
	if err := fault.Decode(raw, &args); err != nil {
		return err
	}
	return s.server.Apply(name, args)
}

// Load takes as long as reading the model's weights does while all that read
// at the same time share the rate. A model of unknown size takes no time. An
// outage or cut of the store holds it up.
func (s *Store) Load(ctx context.Context, ref fleet.ModelRef) error {
	s.begun(1)
	defer s.begun(-1)
	size := s.sizes[path.Join(ref.Model, ref.Version, ref.Adapter)]
	return s.draw(ctx, size, func(int) error { return s.server.Listener.WaitInbound(ctx) })
}

func (s *Store) begun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading += n
	s.most = max(s.most, s.loading)
}

// MaxConcurrentLoads is how many loads were under way at once, at the most.
func (s *Store) MaxConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// draw passes size bytes in pieces at the store's rate.
func (s *Store) draw(ctx context.Context, size int64, piece func(n int) error) error {
	for size > 0 {
		n := int(min(size, pieceBytes))
		if err := s.limiter.WaitN(ctx, n); err != nil {
			return Error.Wrap(err)
		}
		if err := piece(n); err != nil {
			return Error.Wrap(err)
		}
		size -= int64(n)
	}
	return nil
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	size, ok := s.sizes[r.PathValue("ref")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	from, to, ok := byteRange(r.Header.Get("Range"), size)
	if !ok {
		w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
		return
	}
	if r.Method == http.MethodGet && s.limiter.TokensAt(time.Now()) < 0 {
		w.Header().Set("Retry-After", retryAfterSeconds)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Accept-Ranges", "bytes")
	w.Header().Set("Content-Length", strconv.FormatInt(to-from, 10))
	if to-from < size {
		w.Header().Set("Content-Range", contentRange(from, to, size))
		w.WriteHeader(http.StatusPartialContent)
	}
	if r.Method == http.MethodHead {
		return
	}
	zeros := make([]byte, pieceBytes)
	s.draw(r.Context(), to-from, func(n int) error {
		_, err := w.Write(zeros[:n])
		return err
	})
}

// byteRange reads "bytes=A-B" or "bytes=A-" into [from, to).
func byteRange(header string, size int64) (from, to int64, ok bool) {
	spec, found := strings.CutPrefix(header, "bytes=")
	if !found {
		return 0, size, header == ""
	}
	first, last, _ := strings.Cut(spec, "-")
	from, err := strconv.ParseInt(first, 10, 64)
	if err != nil || from < 0 || from >= size {
		return 0, 0, false
	}
	if last == "" {
		return from, size, true
	}
	end, err := strconv.ParseInt(last, 10, 64)
	if err != nil || end < from {
		return 0, 0, false
	}
	return from, min(end+1, size), true
}

func contentRange(from, to, size int64) string {
	return "bytes " + strconv.FormatInt(from, 10) + "-" + strconv.FormatInt(to-1, 10) + "/" + strconv.FormatInt(size, 10)
}
