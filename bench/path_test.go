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

// do sends a job to the load process and returns the report with its results. It calls open
// once all streams of the job have a token.
func (d *deployment) do(b *testing.B, j job, open func()) report {
	if j.URL == "" {
		j.URL = d.caller
	}
	if err := d.send.Encode(j); err != nil {
		b.Fatal(err)
	}
	for {
		var r report
		if err := d.recv.Decode(&r); err != nil {
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

// BenchmarkFirstToken compares the time to the first token of a request through an idle
// daemon with that of a request sent directly to an engine. The limit is 1 ms of added time
// at the 99th percentile.
func BenchmarkFirstToken(b *testing.B) {
	const requests = 1000
	d := sharedDeployment(b)
	d.do(b, job{Model: fastModel, First: 50}, nil) // connections and caches
	var r report
	for b.Loop() {
		r = d.do(b, job{Model: fastModel, First: requests}, nil)
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

// BenchmarkForward measures the tokens that the daemon forwards per second of processor
// time on one core. The streams are read as fast as they come, so that several tokens share
// one read and one write. The result must be at least 60,000.
func BenchmarkForward(b *testing.B) {
	forward(b, job{Model: fastModel, Streams: 64, Tokens: 2000})
}

// BenchmarkForwardPaced measures the same as BenchmarkForward, but with 600 streams that
// each send one token every 30 ms, which is the rate of real engines. At this rate each
// token takes a read and a write of its own.
func BenchmarkForwardPaced(b *testing.B) {
	forward(b, job{Model: pacedModel, Streams: 600, Tokens: 200})
}

// bareRequests counts the bare handler's requests over all rounds. The count makes each
// request id unique, since an engine refuses an attempt that it has already received.
var bareRequests atomic.Int64

// BenchmarkForwardPacedBare measures the same as BenchmarkForwardPaced, but with a bare
// handler in place of the daemon. The handler copies what it reads and flushes, which shows
// the cost of net/http and the kernel alone.
func BenchmarkForwardPacedBare(b *testing.B) {
	d := sharedDeployment(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			MaxTokens int `json:"max_tokens"`
		}
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			return // the caller receives an answer without tokens, which fails the benchmark
		}
		n := bareRequests.Add(1)
		body := directBody(pacedModel, fmt.Sprint("bare-", n), request.MaxTokens)
		engine := d.ports[fmt.Sprint(pacedModel, n%enginesEach)]
		resp, err := client.Post("http://"+engine+"/v1/completions", "application/json", strings.NewReader(body))
		if err != nil {
			return // as above: the caller receives an answer without tokens
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

// usage is the processor time and the number of allocations of this process since its start.
type usage struct {
	cpu     time.Duration
	mallocs uint64
}

// forward reports the total cost per token and its two parts: the cost of a request with an
// answer of one token, and the cost of each further token.
func forward(b *testing.B, j job) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	d := sharedDeployment(b)
	short := job{URL: j.URL, Model: j.Model, Streams: j.Streams, Tokens: 1}
	d.do(b, short, func() {}) // warm up: opens the connections
	start := currentUsage()
	d.do(b, short, func() {})
	request := currentUsage().since(start, j.Streams)
	var seconds float64
	tokens := 0
	start = currentUsage()
	for b.Loop() {
		r := d.do(b, j, func() {})
		tokens += r.Tokens
		seconds += r.Seconds
	}
	total := currentUsage().since(start, tokens)
	b.ReportMetric(1e9/total.ns, "tokens/core-s")
	b.ReportMetric(float64(tokens)/seconds, "tokens/s")
	b.ReportMetric(request.ns, "cpu-ns/request")
	b.ReportMetric(request.mallocs, "allocs/request")
	each := float64(j.Tokens)
	b.ReportMetric((total.ns*each-request.ns)/(each-1), "cpu-ns/further-token")
	b.ReportMetric((total.mallocs*each-request.mallocs)/(each-1), "allocs/further-token")
}

// cost is usage divided by a number of requests, tokens or polls.
type cost struct{ ns, mallocs float64 }

func (u usage) since(start usage, n int) cost {
	return cost{
		ns:      float64((u.cpu - start.cpu).Nanoseconds()) / float64(n),
		mallocs: float64(u.mallocs-start.mallocs) / float64(n),
	}
}

func currentUsage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for RUSAGE_SELF
	return usage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs}
}

// BenchmarkOpenStream measures the memory of one open stream in mid-answer, with both of its
// connections. It must be run on its own: idle connections that earlier streams left open
// would be reused, and their memory would not be counted.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 600
	d := sharedDeployment(b)
	var before, after memory
	for b.Loop() {
		before = readMemory()
		d.do(b, job{Model: pacedModel, Streams: streams, Tokens: 60}, func() { after = readMemory() })
	}
	b.ReportMetric(float64(after.heap-before.heap)/streams, "heap-B/stream")
	b.ReportMetric(float64(after.stack-before.stack)/streams, "stack-B/stream")
	b.ReportMetric(float64(after.goroutines-before.goroutines)/streams, "goroutines/stream")
}

// BenchmarkIdle measures a daemon with eight engines, without peers and without callers, over
// ten seconds: processor time, calls to the key-value service, and memory.
func BenchmarkIdle(b *testing.B) {
	const span = 10 * time.Second
	d := sharedDeployment(b)
	for b.Loop() {
		calls, start := d.kvCalls(b), currentUsage()
		time.Sleep(span)
		b.ReportMetric(100*currentUsage().since(start, 1).ns/float64(span), "%core")
		b.ReportMetric(float64(d.kvCalls(b)-calls)/span.Seconds(), "kv-calls/s")
		m := readMemory()
		b.ReportMetric(float64(m.heap), "heap-B")
		b.ReportMetric(float64(m.stack), "stack-B")
	}
}

func (d *deployment) kvCalls(b *testing.B) int {
	resp, err := http.Get("http://" + d.admin + "/metrics")
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

// BenchmarkPoll measures the client's cost of polling one engine for its load, and for its
// load and its cache events, which only the scorer prefix-reported needs.
func BenchmarkPoll(b *testing.B) {
	b.Run("load", func(b *testing.B) { poll(b, false) })
	b.Run("load-and-cache-events", func(b *testing.B) { poll(b, true) })
}

func poll(b *testing.B, events bool) {
	d := sharedDeployment(b)
	engine := fleet.Backend{ID: "e", Addr: d.ports[pacedModel+"0"], Kind: fleet.Engine}
	c := backend.NewClient()
	n := 0
	start := currentUsage()
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
	each := currentUsage().since(start, n)
	b.ReportMetric(each.ns, "cpu-ns/poll")
	paths := []string{"/v1/load"}
	if events {
		paths = append(paths, "/v1/cache-events?after=0")
	}
	b.ReportMetric(float64(pollBytes(b, engine.Addr, paths)), "bytes/poll")
}

// pollBytes returns the bytes of the requests of one poll and their answers, each sent over
// its own connection without net/http.
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

func readMemory() memory {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return memory{int64(m.HeapAlloc), int64(m.StackInuse), int64(runtime.NumGoroutine())}
}
