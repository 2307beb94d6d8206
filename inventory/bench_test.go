package inventory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// targetRecords is the size for which docs/CAPACITY.md calculates the capacity: 10,000
// replicas and 830 nodes.
const targetRecords = 10_830

func targetList() []Item {
	list := make([]Item, 0, targetRecords)
	for i := range targetRecords {
		list = append(list, Item{
			ID: fmt.Sprintf("engine-%05d", i), VM: fmt.Sprintf("vm-engine-%05d", i), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			FailureDomain: fmt.Sprint("region-1-domain-", i%9), Role: "engine", ChecksFence: true,
		})
	}
	return list
}

func targetState(list []Item) (*State, *Observer, time.Time) {
	s, o, now := NewState(), NewObserver("router-0001"), time.Now()
	changes, _ := o.Observe(s, list, now)
	s.Merge(changes, now)
	return s, o, now
}

func encoded(b *testing.B, v any) float64 {
	data, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// BenchmarkReading measures the cost for a reader of applying one reading in which one
// entry changed, without fetching and parsing the list.
func BenchmarkReading(b *testing.B) {
	list := targetList()
	s, o, now := targetState(list)
	for b.Loop() {
		now = now.Add(time.Second)
		list[7].Leaving = !list[7].Leaving
		changes, _ := o.Observe(s, list, now)
		s.Merge(changes, now)
	}
}

// BenchmarkDelta measures the work of a node that receives a change of one entry.
func BenchmarkDelta(b *testing.B) {
	list := targetList()
	s, _, now := targetState(list)
	d := Delta{Newest: NewestReadings{Reading: now.UnixMilli(), Chosen: now.UnixMilli()}, Records: []Record{{Item: list[7], Reader: "router-0001", At: now.UnixMilli(), FirstSeen: now.UnixMilli(), LeavingAt: now.UnixMilli()}}}
	for b.Loop() {
		d.Records[0].At++
		d.Newest.Reading++
		s.RecordReadings(d.Newest, now)
		s.Merge(d.Records, now)
	}
	b.ReportMetric(encoded(b, d), "B/delta")
}

// BenchmarkDigest measures a digest round (one comparison by digests) between two nodes
// with equal inventories, counting the work of both nodes.
func BenchmarkDigest(b *testing.B) {
	s, _, _ := targetState(targetList())
	var request, answer Digest
	for b.Loop() {
		request = s.Digest()
		answer = s.Answer(request)
		s.Differing(answer)
	}
	b.ReportMetric(encoded(b, request)+encoded(b, answer), "B/round")
}

// BenchmarkExchange measures a digest round between two nodes whose inventories differ in
// one record.
func BenchmarkExchange(b *testing.B) {
	list := targetList()
	s, _, now := targetState(list)
	other, _, _ := targetState(list)
	r := Record{Item: list[7], Reader: "router-0001", At: now.UnixMilli()}
	var bytes float64
	for b.Loop() {
		r.At++
		s.Merge([]Record{r}, now)
		request := other.Digest()
		answer := s.Answer(request)
		batch := other.Batch(other.Differing(answer))
		reply, _ := s.Exchange(batch, now)
		other.Merge(reply.Records, now)
		bytes = encoded(b, request) + encoded(b, answer) + encoded(b, batch) + encoded(b, reply)
	}
	b.ReportMetric(bytes, "B/round")
}

// BenchmarkTakeAll measures the start of a node that gets the whole inventory from a
// neighbour.
func BenchmarkTakeAll(b *testing.B) {
	s, _, now := targetState(targetList())
	var bytes float64
	for b.Loop() {
		empty := NewState()
		buckets := empty.Differing(s.Answer(empty.Digest()))
		bytes = 0
		for len(buckets) > 0 {
			batch := empty.Batch(buckets)
			batch.Buckets = buckets[:batch.Done]
			reply, _ := s.Exchange(batch, now)
			data, err := cbor.Marshal(reply)
			if err != nil {
				b.Fatal(err)
			}
			bytes += float64(len(data))
			var got Batch
			if err := cbor.Unmarshal(data, &got); err != nil {
				b.Fatal(err)
			}
			empty.Merge(got.Records, now)
			buckets = buckets[got.Done:]
		}
	}
	b.ReportMetric(bytes, "B/start")
}

// BenchmarkRecordMemory measures the memory of a record received from a neighbour.
func BenchmarkRecordMemory(b *testing.B) {
	s, _, now := targetState(targetList())
	data, err := cbor.Marshal(s.Live())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		empty := NewState()
		var got []Record
		if err := cbor.Unmarshal(data, &got); err != nil {
			b.Fatal(err)
		}
		empty.Merge(got, now)
		got = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/targetRecords, "B/record")
		runtime.KeepAlive(empty)
	}
}
