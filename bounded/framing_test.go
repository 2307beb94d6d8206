package bounded

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"wigeondale/fakes/raw"
)

// errSwitched ends readAnswers at an answer that switches the protocol.
var errSwitched = errors.New("switched")

// readAnswers reads the answers in a text as net/http does, and returns how many are whole. The error is io.EOF at the end of the text.
func readAnswers(r io.Reader, method string) (whole int, err error) {
	whole, _, err = readHeads(r, method)
	return whole, err
}

// readHeads does as readAnswers, and returns the number of heads too, with those of interim answers.
func readHeads(r io.Reader, method string) (whole, heads int, err error) {
	in := bufio.NewReader(r)
	for {
		if _, err := in.Peek(1); err != nil {
			return whole, heads, err
		}
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return whole, heads, err
		}
		if heads++; resp.StatusCode == http.StatusSwitchingProtocols {
			return whole, heads, errSwitched
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			return whole, heads, err
		}
		if resp.StatusCode/100 != 1 {
			whole++
		}
	}
}

// Guards against a malformed answer that is read as one because of how its bytes arrive, or because others came before it.
func TestMalformedAnswersAreFoundHoweverTheyArrive(t *testing.T) {
	before := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\n\r\n", "none": "",
	}
	for name, answer := range raw.MalformedAnswers(200, "X: 1\r\n", "ok") {
		for first, sound := range before {
			for way, r := range map[string]io.Reader{
				"at once": strings.NewReader(sound + answer), "by bytes": iotest.OneByteReader(strings.NewReader(sound + answer)),
				"in halves": iotest.HalfReader(strings.NewReader(sound + answer)), "with its end": iotest.DataErrReader(strings.NewReader(sound + answer)),
			} {
				checked := NewAnswerReader(r)
				whole, err := readAnswers(checked, http.MethodGet)
				want := min(len(sound), 1)
				if whole != want || err == nil || err == io.EOF || !errors.Is(checked.Err(), ErrMalformed) {
					t.Errorf("%s after %s, %s: got %d answers, %v, %v", name, first, way, whole, err, checked.Err())
				}
			}
		}
	}
}

// Guards against bodies that are read as heads: of answers to HEAD, to CONNECT, and those that end with their connection.
func TestBodiesAreNoHeads(t *testing.T) {
	const text = "X Foo: 1\r\n\r\nHTTP/9.9 000\r\n\r\n"
	for name, c := range map[string]struct{ method, answers string }{
		"end of connection": {"GET", "HTTP/1.1 200 OK\r\n\r\n" + text},
		"HTTP/1.0":          {"GET", "HTTP/1.0 200 OK\r\n\r\n" + text},
		"length":            {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + text},
		"HEAD":              {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"no content":        {"GET", "HTTP/1.1 304 X\r\nContent-Length: 28\r\n\r\nHTTP/1.1 204 X\r\n\r\n"},
		"tunnel":            {"CONNECT", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + text},
		"upgrade":           {"GET", "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + text},
	} {
		r := NewAnswerReader(iotest.HalfReader(strings.NewReader(c.answers)))
		r.Expect(c.method)
		if got, err := io.ReadAll(r); err != nil || string(got) != c.answers {
			t.Errorf("%s: got %q, %v", name, got, err)
		}
	}
}

// Guards against a line without end that is kept in memory.
func TestLineOfAHeadIsBounded(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-Foo: "), iotest.DataErrReader(strings.NewReader(strings.Repeat("x", 10*MaxHeadBytes))))
	r := NewAnswerReader(endless)
	n, err := io.Copy(io.Discard, r)
	if !errors.Is(err, ErrMalformed) || n > 2*MaxHeadBytes || len(r.framing.line) > MaxHeadBytes {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// FuzzAnswersAreReadAlike compares what net/http reads with and without the check: the check finds as many heads as net/http, so that none
// passes unseen, what it accepts is read alike, and what net/http writes is accepted.
func FuzzAnswersAreReadAlike(f *testing.F) {
	for _, answer := range raw.WellFormedAnswers("A: 1\r\n", "ok") {
		f.Add([]byte(answer+answer), "X-Foo", "a b", uint16(200), false)
	}
	for _, answer := range raw.MalformedAnswers(200, "A: 1\r\n", "ok") {
		f.Add([]byte(answer), "X-Foo", "\x80", uint16(599), true)
	}
	f.Fuzz(func(t *testing.T, answers []byte, name, value string, status uint16, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		checked := NewAnswerReader(bytes.NewReader(answers))
		checked.Expect(method)
		got, heads, err := readHeads(checked, method)
		if checked.Err() == nil && err == io.EOF && heads != checked.framing.finishedHeads {
			t.Errorf("net/http read %d heads, the check %d", heads, checked.framing.finishedHeads)
		}
		want, wantErr := readAnswers(bytes.NewReader(answers), method)
		if checked.Err() == nil && got != want || got > want {
			t.Errorf("got %d answers, want %d, %v, %v", got, want, wantErr, checked.Err())
		}
		checkWritten(t, method, name, value, 100+int(status)%500)
	})
}

// checkWritten writes an answer with net/http, and checks that it is accepted unless its field is one that net/http rejects too.
func checkWritten(t *testing.T, method, name, value string, status int) {
	t.Helper()
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Request: &http.Request{Method: method}, ContentLength: -1,
		Header: http.Header{name: {value}}, Body: io.NopCloser(strings.NewReader(value)), TransferEncoding: []string{"chunked"},
	}
	if status/100 == 1 || status == http.StatusNoContent || status == http.StatusNotModified || method == http.MethodHead {
		resp.Body, resp.ContentLength, resp.TransferEncoding = http.NoBody, 0, nil
	}
	var out bytes.Buffer
	if http.CanonicalHeaderKey(name) != name || !isToken([]byte(name)) || resp.Write(&out) != nil || status == http.StatusSwitchingProtocols {
		return
	}
	if _, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(out.Bytes())), resp.Request); err != nil {
		return
	}
	switch name {
	case "Content-Length", "Transfer-Encoding":
		return // net/http replaces them
	}
	checked := NewAnswerReader(&out)
	checked.Expect(method)
	if _, err := io.Copy(io.Discard, checked); err != nil {
		t.Errorf("%q: %q, status %d: %v", name, value, status, err)
	}
}

// Guards against a request that runs once and is sent again by net/http because its malformed answer came on a connection that was idle, and
// against a connection that does not know the method, over plain text and HTTP/2.
func TestTransportTellsTheMethod(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	s := &raw.Server{Answers: []string{whole, whole + "ok", "HTTP/1.1 000 X\r\n\r\n"}, Later: []string{whole + "b1"}}
	addr, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	if _, err := c.Head("http://" + addr); err != nil {
		t.Error(err)
	}
	resp, err := c.Get("http://" + addr)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "ok" || err != nil {
		t.Errorf("got %q, %v", body, err)
	}
	if resp, err := c.Get("http://" + addr); !errors.Is(err, ErrMalformed) {
		t.Errorf("got %v, %v", resp, err)
	}
}

// BenchmarkAnswer checks an answer of 100 chunks of 100 bytes, as a stream has them.
func BenchmarkAnswer(b *testing.B) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: q\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n"
	answer := []byte(head + strings.Repeat("64\r\n"+strings.Repeat("x", 100)+"\r\n", 100) + "0\r\n\r\n")
	b.SetBytes(int64(len(answer)))
	b.ReportAllocs()
	var f framing
	for b.Loop() {
		if _, err := f.check(answer); err != nil {
			b.Fatal(err)
		}
	}
}
