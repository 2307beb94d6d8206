package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"wigeondale/fleet"
)

var testID = StreamID{Request: "r-1", Attempt: 2, Ref: fleet.ModelRef{Model: "m", Version: "v1"}}

func chunk(id StreamID, index int, text, finish string) string {
	f := "null"
	if finish != "" {
		f = `"` + finish + `"`
	}
	return fmt.Sprintf(`data: %s%d,"choices":[{"index":0,"text":%s,"finish_reason":%s}]}`+"\n\n", chunkHead(id), index, quote(text), f)
}

func readStream(s string) *Stream {
	return NewStream(io.NopCloser(strings.NewReader(s)), testID, "i")
}

// TestStreamChecksEachChunk guards against a caller receiving tokens of another request's
// answer. An engine, or a proxy in front of it, may swap two answers on one connection, so
// the client must check the ids in each chunk and not rely on the connection.
func TestStreamChecksEachChunk(t *testing.T) {
	answer := chunk(testID, 0, " a\"\\\n<\u00e9\U0001F600", "") + ": note\n" + chunk(testID, 1, strings.Repeat("x", 3*streamBufferBytes), "stop") + "data: [DONE]\n\n"
	s := readStream(answer)
	a, err := s.Next()
	if err != nil || string(a.Text) != " a\"\\\n<\u00e9\U0001F600" || !s.Buffered() {
		t.Fatal(a, err)
	}
	b, err := s.Next()
	if err != nil || b.Index != 1 || len(b.Text) != 3*streamBufferBytes || b.Finish != "stop" {
		t.Fatal(b.Index, len(b.Text), err)
	}
	if _, err := s.Next(); err != io.EOF {
		t.Fatal(err)
	}
	good := strings.TrimSpace(chunk(testID, 0, "t", ""))
	for _, tc := range []struct {
		old, new string
		want     error
	}{
		{`r-1`, `r-2`, ErrMismatch},
		{`"attempt":2`, `"attempt":1`, ErrMismatch},
		{`"model":"m"`, `"model":"n"`, ErrMismatch},
		{`v1`, `v2`, ErrMismatch},
		{`"adapter":""`, `"adapter":"x"`, ErrMismatch},
		{`"adapter":"",`, ``, ErrMismatch},
		{`"index":0,"choices"`, `"index":-1,"choices"`, ErrMismatch},
		{`null`, `"cancelled"`, ErrBroken},
		{`null`, `7`, ErrMismatch},
		{`}]}`, `}]`, ErrMismatch},
		{good, `data: {"error":{"code":"internal"}}`, ErrBroken},
		{good, `data: [DON`, ErrMismatch},
		{`"id"`, ` "id"`, nil},
		{`"finish_reason":null`, `"more":[1],"finish_reason":null`, nil},
	} {
		_, err := readStream(strings.Replace(good, tc.old, tc.new, 1) + "\n").Next()
		if !errors.Is(err, tc.want) {
			t.Errorf("%s -> %s: got %v, want %v", tc.old, tc.new, err, tc.want)
		}
	}
	// The end of the connection, even inside a line, is not the end of the answer.
	if _, err := readStream(good).Next(); !errors.Is(err, ErrBroken) || errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
}

// FuzzChunk checks that the fast parser agrees with encoding/json on every line
// that it accepts.
func FuzzChunk(f *testing.F) {
	f.Add([]byte(strings.TrimSpace(chunk(testID, 3, "a\\u0041\"", "stop"))[6:]))
	f.Add([]byte(strings.TrimSpace(chunk(testID, 3, "\U0001F600", ""))[6:]))
	f.Add([]byte(string(chunkHead(testID)) + `1,"choices":[{"index":0,"text":"\ud83d\u0041\ud800","finish_reason":null}]}`))
	f.Add([]byte(string(chunkHead(testID)) + `1,"choices":[{"index":0,"text":"\q` + "\xff" + `","finish_reason":null}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := readStream("data: " + string(data) + "\n")
		tok, fast := s.parseChunkFast(data)
		if !fast {
			s.Next()
			return
		}
		var want struct {
			ID, Model, Version string
			Attempt, Index     int
			Choices            []struct {
				Text         string
				FinishReason string `json:"finish_reason"`
			}
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("fast path took %q: %v", data, err)
		}
		if want.ID != testID.Request || want.Attempt != testID.Attempt || want.Index != tok.Index {
			t.Fatalf("%q: got %+v", data, tok)
		}
		if c := want.Choices[0]; c.Text != string(tok.Text) || c.FinishReason != tok.Finish {
			t.Fatalf("%q: got %+v, want %+v", data, tok, c)
		}
	})
}

func BenchmarkStreamNext(b *testing.B) {
	var buf bytes.Buffer
	const tokens = 1000
	for i := range tokens {
		buf.WriteString(chunk(testID, i, fmt.Sprintf(" %d.ab12.0011aabb", i), ""))
	}
	data := buf.Bytes()
	r := bytes.NewReader(data)
	s := NewStream(io.NopCloser(r), testID, "i")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%tokens == 0 {
			r.Reset(data)
			s.br.Reset(r)
		}
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a sound chunk that is refused for its size, and a line without end that is read.
func TestLongLinesAreRead(t *testing.T) {
	got, err := readStream(chunk(testID, 0, strings.Repeat("x", 100<<10), "")).Next()
	if err != nil || len(got.Text) != 100<<10 {
		t.Errorf("a chunk of 100 KB: got %d bytes, %v", len(got.Text), err)
	}
	if _, err := readStream(chunk(testID, 0, strings.Repeat("x", 2*maxLineBytes), "")).Next(); !errors.Is(err, ErrMismatch) {
		t.Errorf("a chunk of %d bytes: got %v", 2*maxLineBytes, err)
	}
}
