package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// do has the other process carry out a job. open runs once all streams do.
func (p *path) do(b *testing.B, j job, open func()) report {
	if j.URL == "" {
		j.URL = p.caller
	}
	if err := p.send.Encode(j); err != nil {
		b.Fatal(err)
	}
	for {
		var r report
		if err := p.recv.Decode(&r); err != nil {
			b.Fatal(err)
		}
		if r.Err != "" {
			b.Fatal(r.Err)
		}
		if !r.Open {
			return r
		}
		open()
	}
}

// BenchmarkFirstToken compares the first token of an unloaded request through
// the daemon with that of the same engine asked directly.
// The bar: at most 1 ms added at the 99th percentile.
func BenchmarkFirstToken(b *testing.B) {
	const requests = 1000
	p := thePath(b)
	p.do(b, job{Model: fastModel, First: 50}, nil) // connections and caches
	var r report
	for b.Loop() {
		r = p.do(b, job{Model: fastModel, First: requests}, nil)
	}
	for _, q := range []struct {
		name string
		rank int
	}{{"p50", requests / 2}, {"p99", requests * 99 / 100}} {
		b.ReportMetric(micros(r.Via[q.rank]), "via-us-"+q.name)
		b.ReportMetric(micros(r.Direct[q.rank]), "direct-us-"+q.name)
		b.ReportMetric(micros(r.Via[q.rank]-r.Direct[q.rank]), "added-us-"+q.name)
	}
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// BenchmarkForward measures forwarded tokens per second of processor time of
// the daemon's process on one core, streams being read as fast as they come, so
// that several tokens share one read and one write. The bar: 60,000.
func BenchmarkForward(b *testing.B) {
	forward(b, job{Model: fastModel, Streams: 64, Tokens: 2000})
}

// BenchmarkForwardPaced is the same with 600 streams of a token each 30 ms,
// the rhythm of real engines: each token is a read and a write of its own.
func BenchmarkForwardPaced(b *testing.B) {
	forward(b, job{Model: pacedModel, Streams: 600, Tokens: 200})
}

// bareRequests numbers the bare handler's requests over all rounds: an engine
// refuses an attempt that it has seen.
var bareRequests atomic.Int64

// BenchmarkForwardPacedBare is the same through a bare handler, which copies
// what it reads and flushes: what net/http and the kernel cost by themselves.
func BenchmarkForwardPacedBare(b *testing.B) {
	p := thePath(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var ask struct {
			MaxTokens int `json:"max_tokens"`
		}
		if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
			return // the caller sees an answer without tokens
		}
		n := bareRequests.Add(1)
		body := directBody(pacedModel, fmt.Sprint("bare-", n), ask.MaxTokens)
		engine := p.ports[fmt.Sprint(pacedModel, n%enginesEach)]
		resp, err := client.Post("http://"+engine+"/v1/completions", "application/json", strings.NewReader(body))
		if err != nil {
			return // as above
		}
		defer resp.Body.Close()
		copyFlushing(w, resp.Body)
	}))
	defer srv.Close()
	forward(b, job{URL: srv.URL, Model: pacedModel, Streams: 600, Tokens: 200})
}

func copyFlushing(w http.ResponseWriter, from io.Reader) {
	rc := http.NewResponseController(w)
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if _, failed := w.Write(buf[:n]); failed != nil || rc.Flush() != nil || err != nil {
			return
		}
	}
}

// usage is what the process has used so far.
type usage struct {
	cpu     time.Duration
	mallocs uint64
}

// forward reports the whole cost for each token, and apart from that its two
// parts: that of a request with an answer of one token, and that of each
// further token.
func forward(b *testing.B, j job) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p := thePath(b)
	short := job{URL: j.URL, Model: j.Model, Streams: j.Streams, Tokens: 1}
	p.do(b, short, func() {}) // opens the connections
	began := used()
	p.do(b, short, func() {})
	request := used().since(began, j.Streams)
	var seconds float64
	tokens := 0
	began = used()
	for b.Loop() {
		r := p.do(b, j, func() {})
		tokens += r.Tokens
		seconds += r.Seconds
	}
	whole := used().since(began, tokens)
	b.ReportMetric(1e9/whole.ns, "tokens/core-s")
	b.ReportMetric(float64(tokens)/seconds, "tokens/s")
	b.ReportMetric(request.ns, "cpu-ns/request")
	b.ReportMetric(request.mallocs, "allocs/request")
	each := float64(j.Tokens)
	b.ReportMetric((whole.ns*each-request.ns)/(each-1), "cpu-ns/further-token")
	b.ReportMetric((whole.mallocs*each-request.mallocs)/(each-1), "allocs/further-token")
}

// cost is usage for each of a number of things.
type cost struct{ ns, mallocs float64 }

func (u usage) since(began usage, n int) cost {
	return cost{
		ns:      float64((u.cpu - began.cpu).Nanoseconds()) / float64(n),
		mallocs: float64(u.mallocs-began.mallocs) / float64(n),
	}
}

func used() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // can't fail for the own process
	return usage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs}
}

// BenchmarkOpenStream measures the memory of one open stream in mid-answer,
// with both of its connections. It is to run alone, since connections that
// earlier streams left idle would count for nothing.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 600
	p := thePath(b)
	var before, after memory
	for b.Loop() {
		before = takeMemory()
		p.do(b, job{Model: pacedModel, Streams: streams, Tokens: 60}, func() { after = takeMemory() })
	}
	b.ReportMetric(float64(after.heap-before.heap)/streams, "heap-B/stream")
	b.ReportMetric(float64(after.stack-before.stack)/streams, "stack-B/stream")
	b.ReportMetric(float64(after.goroutines-before.goroutines)/streams, "goroutines/stream")
}

// BenchmarkIdle measures a daemon without callers, alone with eight engines,
// over some seconds: processor time and calls on the key-value service.
func BenchmarkIdle(b *testing.B) {
	const span = 10 * time.Second
	p := thePath(b)
	for b.Loop() {
		calls, began := p.kvCalls(b), used()
		time.Sleep(span)
		b.ReportMetric(100*used().since(began, 1).ns/float64(span), "%core")
		b.ReportMetric(float64(p.kvCalls(b)-calls)/span.Seconds(), "kv-calls/s")
		m := takeMemory()
		b.ReportMetric(float64(m.heap), "heap-B")
		b.ReportMetric(float64(m.stack), "stack-B")
	}
}

func (p *path) kvCalls(b *testing.B) int {
	resp, err := http.Get("http://" + p.admin + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		b.Fatal(err)
	}
	total := 0
	for line := range strings.Lines(string(text)) {
		var n int
		name, value, _ := strings.Cut(line, " ")
		if strings.HasPrefix(name, `wigeon_platform_calls_total{service="kv"`) {
			fmt.Sscan(value, &n)
			total += n
		}
	}
	return total
}

// BenchmarkPoll is the client's cost of asking one engine for its load, and for
// its cache events as well, which only the scorer prefix-reported needs.
func BenchmarkPoll(b *testing.B) {
	b.Run("load", func(b *testing.B) { poll(b, false) })
	b.Run("load-and-cache-events", func(b *testing.B) { poll(b, true) })
}

func poll(b *testing.B, events bool) {
	p := thePath(b)
	engine := fleet.Backend{ID: "e", Addr: p.ports[pacedModel+"0"], Kind: fleet.Engine}
	c := backend.NewClient()
	n := 0
	began := used()
	for b.Loop() {
		n++
		_, err := c.Load(b.Context(), engine)
		if err == nil && events {
			_, err = c.CacheEvents(b.Context(), engine, 0)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	each := used().since(began, n)
	b.ReportMetric(each.ns, "cpu-ns/poll")
	paths := []string{"/v1/load"}
	if events {
		paths = append(paths, "/v1/cache-events?after=0")
	}
	b.ReportMetric(float64(pollBytes(b, engine.Addr, paths)), "bytes/poll")
}

// pollBytes counts the bytes of the same questions, each over a plain
// connection.
func pollBytes(b *testing.B, addr string, paths []string) int {
	total := 0
	for _, path := range paths {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		request := "GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\nUser-Agent: Go-http-client/1.1\r\nConnection: close\r\n\r\n"
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		conn.Close()
		if err != nil {
			b.Fatal(err)
		}
		total += len(request) + len(answer)
	}
	return total
}

type memory struct{ heap, stack, goroutines int64 }

func takeMemory() memory {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return memory{int64(m.HeapAlloc), int64(m.StackInuse), int64(runtime.NumGoroutine())}
}
