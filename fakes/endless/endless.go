// Package endless sends answers that never end, as servers in trouble do: a sound beginning, and
// then bytes that are no answer until the other side closes the connection.
package endless

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Kind is the part of an answer that never ends.
type Kind string

// These are the kinds.
const (
	StatusLine Kind = "status line"
	HeaderLine Kind = "header line"
	Headers    Kind = "header lines"
	Interim    Kind = "interim answers"
	Switched   Kind = "switched protocol"
	Length     Kind = "body of a stated length"
	Unframed   Kind = "body without a length"
	Chunks     Kind = "chunks"
	EventLine  Kind = "event line"
	Comments   Kind = "comment lines"
	DataLines  Kind = "data lines"
	Trailers   Kind = "trailers"
)

// Heads are the kinds whose head never ends, Bodies those whose head is sound, and Streams those of
// event streams. All has all of them.
var (
	Heads   = []Kind{StatusLine, HeaderLine, Headers, Interim}
	Bodies  = []Kind{Switched, Length, Unframed, Chunks}
	Streams = []Kind{EventLine, Comments, DataLines, Trailers}
	All     = slices.Concat(Heads, Bodies, Streams)
)

// burst is the size of one write at full speed, in bytes.
const burst = 4 << 10

// Answer is one answer without end.
type Answer struct {
	Kind Kind
	Gap  time.Duration // between two bytes; 0: full speed
	// Status is the status of a sound head, 200 if it is 0. Header has the lines of a sound head.
	Status int
	Header http.Header
	Body   string // the sound beginning of the body
}

// Write writes the answer until w fails or stop is closed, and adds the bytes written to sent.
func (a Answer) Write(w io.Writer, sent *atomic.Int64, stop <-chan struct{}) {
	begin, endless := a.parts()
	n, err := io.WriteString(w, begin)
	sent.Add(int64(n))
	piece := []byte(endless)
	if a.Gap == 0 {
		piece = bytes.Repeat(piece, max(1, burst/len(piece)))
	}
	for i := 0; err == nil; {
		out := piece
		if a.Gap > 0 {
			out = piece[i : i+1]
			i = (i + 1) % len(piece)
		}
		n, err = w.Write(out)
		sent.Add(int64(n))
		select {
		case <-stop:
			return
		case <-time.After(a.Gap):
		}
	}
}

// parts returns the beginning of the answer, and the bytes that are repeated after it.
func (a Answer) parts() (begin, endless string) {
	const junk = "junk"
	pieces := strings.Repeat(junk, 32) // of chunks, so that they are mostly data
	switch a.Kind {
	case StatusLine:
		return "HTTP/1.1 200 ", junk
	case HeaderLine:
		return a.head("") + "X-Line: ", junk
	case Headers:
		return a.head(""), "X-Line: junk\r\n"
	case Interim:
		return "", "HTTP/1.1 103 Early Hints\r\nX-Line: junk\r\n\r\n"
	case Switched:
		a.Status = http.StatusSwitchingProtocols
		return a.head("Connection: Upgrade\r\nUpgrade: websocket\r\n") + "\r\n" + a.Body, junk
	case Length:
		return a.head("Content-Length: 1099511627776\r\n") + "\r\n" + a.Body, junk
	case Unframed:
		return a.head("Connection: close\r\n") + "\r\n" + a.Body, junk
	}
	begin = a.head("Transfer-Encoding: chunked\r\n") + "\r\n" + chunk(a.Body)
	switch a.Kind {
	case EventLine:
		return begin + chunk("id: 1\ndata: "), chunk(pieces)
	case Comments:
		return begin, chunk(strings.Repeat(": junk\n", 16))
	case DataLines:
		return begin + chunk("id: 1\n"), chunk(strings.Repeat("data: junk\n", 16))
	case Trailers:
		return begin + "0\r\n", "X-Line: junk\r\n"
	}
	return begin, chunk(pieces)
}

func (a Answer) head(framing string) string {
	var b strings.Builder
	status := a.Status
	if status == 0 {
		status = http.StatusOK
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = a.Header.Write(&b) // a strings.Builder never fails
	b.WriteString(framing)
	return b.String()
}

func chunk(s string) string {
	if s == "" {
		return "" // an empty chunk would end the body
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}
