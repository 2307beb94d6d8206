// Package weights is a fake of the platform's rate-limited weight store.
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
	chunkBytes        = 64 << 10
	burstSeconds      = 0.1 // lets reads catch up after timers that fire late
	retryAfterSeconds = "1"
)

// Store is the fake of the weight store.
type Store struct {
	server  *fault.Server
	sizes   map[string]int64
	limiter *rate.Limiter

	mu         sync.Mutex
	loading    int // loads in progress
	maxLoading int // highest value of loading so far
}

// New prepares the store at addr. Sizes are in bytes, keyed by model/version or
// model/version/adapter. A rate of zero means no limit.
func New(addr string, bytesPerSecond float64, sizes map[string]int64) *Store {
	burst := max(chunkBytes, int(bytesPerSecond*burstSeconds))
	s := &Store{sizes: sizes, limiter: rate.NewLimiter(limitOf(bytesPerSecond), burst)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{ref...}", s.serveWeights) // also matches HEAD
	s.server = fault.NewServer(addr, mux)
	return s
}

func limitOf(bytesPerSecond float64) rate.Limit {
	if bytesPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(bytesPerSecond)
}

// ID returns the store's name at the control listener.
func (s *Store) ID() string { return "weights" }

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.server.Addr() }

// Start starts the service.
func (s *Store) Start() error { return Error.Wrap(s.server.Start()) }

// Close stops the service.
func (s *Store) Close() { s.server.Kill() }

// Fault turns one of the switches that fault.Server.Apply describes.
func (s *Store) Fault(name string, raw json.RawMessage) error {
	var args fault.Args
	if err := fault.Decode(raw, &args); err != nil {
		return err
	}
	return s.server.Apply(name, args)
}

// Load waits as long as it takes to read the model's weights. All concurrent reads share the
// store's rate. A model of unknown size takes no time. While the store is killed, in an outage
// or cut, Load blocks.
func (s *Store) Load(ctx context.Context, ref fleet.ModelRef) error {
	s.addLoading(1)
	defer s.addLoading(-1)
	size := s.sizes[path.Join(ref.Model, ref.Version, ref.Adapter)]
	return s.readAtRate(ctx, size, func(int) error { return s.server.Listener.WaitInbound(ctx) })
}

func (s *Store) addLoading(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading += n
	s.maxLoading = max(s.maxLoading, s.loading)
}

// MaxConcurrentLoads returns the highest number of concurrent loads so far.
func (s *Store) MaxConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxLoading
}

// readAtRate calls chunk with the length of one chunk after another, size bytes in all, at
// the store's rate.
func (s *Store) readAtRate(ctx context.Context, size int64, chunk func(n int) error) error {
	for size > 0 {
		n := int(min(size, chunkBytes))
		if err := s.limiter.WaitN(ctx, n); err != nil {
			return Error.Wrap(err)
		}
		if err := chunk(n); err != nil {
			return Error.Wrap(err)
		}
		size -= int64(n)
	}
	return nil
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
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
	zeros := make([]byte, chunkBytes)
	s.readAtRate(r.Context(), to-from, func(n int) error {
		_, err := w.Write(zeros[:n])
		return err
	})
}

// byteRange parses a Range header "bytes=A-B" or "bytes=A-" as [from, to). An empty header means
// all bytes.
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
