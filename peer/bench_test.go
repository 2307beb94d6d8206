package peer

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// targetNodes is the number of nodes for which docs/CAPACITY.md calculates the
// capacity.
const targetNodes = 830

func testRecords(n int) []Record {
	out := make([]Record, n)
	for i := range out {
		out[i] = Record{
			ID:            fmt.Sprintf("entry-%04d", i),
			Addr:          fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250),
			FailureDomain: fmt.Sprintf("region-%d-domain-%d", i%4, i%9),
			Incarnation:   1_790_000_000_000_000_000,
			Version:       3,
			Ready:         true,
		}
	}
	return out
}

// idleMesh returns a mesh that is not running and has n members and no links.
func idleMesh(b *testing.B, n int) *Mesh {
	rs := testRecords(n)
	m, err := New(Config{ID: rs[0].ID, Addr: rs[0].Addr, FailureDomain: rs[0].FailureDomain}, testKey, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	for _, r := range rs[1:] {
		m.table.merge(time.Now(), r)
		m.table.byID[r.ID].revision = 100
	}
	return m
}

func frameWireBytes(b *testing.B, kind frameType, body any) float64 {
	raw, err := encodeFrame(frame{Type: kind}, body)
	if err != nil {
		b.Fatal(err)
	}
	return float64(wireBytes(len(raw), true))
}

// BenchmarkHeartbeat measures encoding, decoding and merging one heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	m := idleMesh(b, targetNodes)
	l := newLink(m, nil, testRecords(2)[1], m.cfg.ID)
	b.ReportAllocs()
	for b.Loop() {
		raw, _ := encodeFrame(frame{Type: typeHeartbeat}, m.heartbeatFor(l))
		f, err := decodeFrame(raw)
		if err != nil || m.receive(l, f) != nil {
			b.Fatal("heartbeat refused")
		}
	}
	b.ReportMetric(frameWireBytes(b, typeHeartbeat, m.heartbeatFor(l)), "wirebytes")
	demand := map[string]float64{"account-0001": 123.456}
	b.ReportMetric(frameWireBytes(b, typeHeartbeat, heartbeat{Revision: 1 << 20, Demand: demand}), "wirebytes-1-account")
}

// BenchmarkDigests measures the two periodic digests at the target size.
func BenchmarkDigests(b *testing.B) {
	m := idleMesh(b, targetNodes)
	for b.Loop() {
		m.table.applyRevisions(m.table.buildRevisionDigest(false), m.cfg.ID)
		m.table.differing(m.digest(false).Buckets, 0, maxSyncRecords)
	}
	b.ReportMetric(frameWireBytes(b, typeRevisions, m.table.buildRevisionDigest(false)), "revisions-wirebytes")
	b.ReportMetric(frameWireBytes(b, typeSync, m.digest(false)), "sync-wirebytes")
	b.ReportMetric(frameWireBytes(b, typeRecords, recordBatch{Records: testRecords(1)}), "record-wirebytes")
}

// BenchmarkTick measures one tick without changed records at the target size.
func BenchmarkTick(b *testing.B) {
	m := idleMesh(b, targetNodes)
	s := &schedule{lastTick: time.Now()}
	for b.Loop() {
		m.tick(time.Now(), s)
	}
}

// BenchmarkNeighbours measures the choice of neighbours after a change, and reports the
// average and the maximum number of links per node that the choices of all nodes lead
// to.
func BenchmarkNeighbours(b *testing.B) {
	rs := testRecords(targetNodes)
	t := Config{}.withDefaults().Topology
	for b.Loop() {
		neighbours(rs[0], append([]Record(nil), rs[1:]...), t)
	}
	degree := make(map[string]map[string]bool)
	for i, r := range rs {
		peers := append(append([]Record(nil), rs[:i]...), rs[i+1:]...)
		for id := range neighbours(r, peers, t) {
			addLink(degree, r.ID, id)
			addLink(degree, id, r.ID)
		}
	}
	total, most := 0, 0
	for _, d := range degree {
		total += len(d)
		most = max(most, len(d))
	}
	b.ReportMetric(float64(total)/targetNodes, "links/node")
	b.ReportMetric(float64(most), "links-max")
}

func addLink(degree map[string]map[string]bool, a, b string) {
	if degree[a] == nil {
		degree[a] = make(map[string]bool)
	}
	degree[a][b] = true
}

// BenchmarkMember measures the memory that a mesh needs per member.
func BenchmarkMember(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := idleMesh(b, targetNodes)
		m.table.live()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(m)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/targetNodes, "heapbytes/member")
}

// BenchmarkFlood measures a flood of 300 bytes, the size of a revision, over one
// TCP link, from the call of Flood to the end of the handler.
func BenchmarkFlood(b *testing.B) {
	nodes := loopbackFleet(b, 2, time.Second)
	defer stopAll(nodes)
	<-nodes[0].links
	text := strings.Repeat("r", 300)
	cpu := cpuTime()
	for b.Loop() {
		nodes[0].Flood("text", text)
		<-nodes[1].floods
	}
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
	sent := nodes[0].count(`wigeon_peer_sent_bytes_total{kind="flood"}`)
	b.ReportMetric(float64(sent)/float64(b.N), "wirebytes")
}

func loopbackFleet(tb testing.TB, n int, heartbeat time.Duration) []*node {
	var nodes []*node
	var seeds []string
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		addr := l.Addr().String()
		seeds = append(seeds, addr)
		cfg := Config{
			ID:            fmt.Sprintf("n%02d", i),
			Addr:          addr,
			FailureDomain: fmt.Sprintf("d%d", i%9),
			Seeds:         seeds[:1],
			Heartbeat:     heartbeat,
		}
		nodes = append(nodes, startNode(tb, cfg, testKey, l))
	}
	return nodes
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet60 runs 60 nodes on loopback with the default intervals and floods
// a revision of 300 bytes every two seconds. Per node it reports the bytes per
// second by kind of message, the processor time and the heap. Run it with
// -benchtime 1x.
func BenchmarkFleet60(b *testing.B) {
	const (
		size     = 60
		settle   = 8 * time.Second
		rounds   = 5
		interval = 2 * time.Second
	)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	nodes := loopbackFleet(b, size, time.Second)
	defer stopAll(nodes)
	for _, n := range nodes {
		n.SetSummary(Summary{Ready: true})
	}
	<-time.After(settle)
	start, cpu, sent := time.Now(), cpuTime(), sentByKind(nodes)
	for i := range rounds {
		nodes[i].Flood("text", strings.Repeat("r", 300))
		for _, n := range nodes {
			n.SetSummary(Summary{Revision: uint64(i + 1), Ready: true})
		}
		<-time.After(interval)
	}
	seconds := time.Since(start).Seconds()
	perNode := size * seconds
	total := 0.0
	for kind, bytes := range sentByKind(nodes) {
		rate := float64(bytes-sent[kind]) / perNode
		total += rate
		b.ReportMetric(rate, kind+"-B/s")
	}
	b.ReportMetric(total, "total-B/s")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/perNode/1e4, "cpu%/node")
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/size/1024, "KiB/node")
	links := 0
	for _, n := range nodes {
		links += len(n.shuffledLinks(""))
	}
	b.ReportMetric(float64(links)/size, "links/node")
	b.ReportMetric(propagationSeconds(nodes, rounds+1), "revision-spread-s")
}

// propagationSeconds sets a revision on all nodes at once and returns how long it
// takes until each node knows that all nodes have it.
func propagationSeconds(nodes []*node, rev uint64) float64 {
	start := time.Now()
	for _, n := range nodes {
		n.SetSummary(Summary{Revision: rev, Ready: true})
	}
	for time.Since(start) < 20*time.Second {
		<-time.After(100 * time.Millisecond)
		if allKnowRevision(nodes, rev) {
			break
		}
	}
	return time.Since(start).Seconds()
}

func allKnowRevision(nodes []*node, rev uint64) bool {
	for _, n := range nodes {
		for _, m := range n.Members() {
			if m.Summary.Revision < rev {
				return false
			}
		}
	}
	return true
}

func sentByKind(nodes []*node) map[string]uint64 {
	out := make(map[string]uint64)
	for _, n := range nodes {
		for k := typeHeartbeat; k < frameTypes; k++ {
			out[frameNames[k]] += n.metrics.sentBytes[k].Get()
		}
	}
	return out
}
