package generation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// memEngines streams answers from memory.
type memEngines struct{ data []byte }

func (e memEngines) Open(_ context.Context, _ fleet.Backend, r backend.StartRequest) (Stream, error) {
	id := backend.StreamID{Request: r.ID, Attempt: r.Attempt, Ref: r.Ref}
	return backend.NewStream(io.NopCloser(bytes.NewReader(e.data)), id, "i1"), nil
}

func (e memEngines) Attach(context.Context, fleet.Backend, backend.StreamID, int) (Stream, error) {
	return nil, backend.ErrUnknownStream
}

type nullSink struct{}

func (nullSink) Begin(Position, *backend.Head) error { return nil }
func (nullSink) Token(int, []byte, string) error     { return nil }
func (nullSink) Flush() error                        { return nil }

// BenchmarkRunner measures the cost of one complete answer of 1000 tokens.
func BenchmarkRunner(b *testing.B) {
	const tokens = 1000
	var data bytes.Buffer
	for i := range tokens {
		finish := "null"
		if i == tokens-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(&data, `data: {"id":"r","attempt":1,"model":"m","version":"v1","adapter":"","index":%d,"choices":[{"index":0,"text":" %d.ab12.0011aabb","finish_reason":%s}]}`+"\n\n", i, i, finish)
	}
	h := &harness{engines: []*fakeEngine{{}}, deadAddr: "memory"}
	r, err := New(Deps{Admitter: h, Claims: h, Picker: h, Watcher: h, Engines: memEngines{data.Bytes()}, Abandon: h, Budget: h}, Options{})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		res := r.Run(b.Context(), Request{ID: "r", Ref: ref, MaxTokens: tokens}, nullSink{})
		if res.Outcome != fleet.Complete {
			b.Fatal(res)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
