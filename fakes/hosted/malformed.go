package hosted

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// longUpload is the length of a body from which on Faults.ResetUploads applies.
	longUpload = 1 << 20
	// earlyRead is how much of a long upload is read, and maxBeforeReset the longest time from the answer to the reset.
	earlyRead      = 64 << 10
	maxBeforeReset = 16 * time.Millisecond
)

// MalformedHeads are answers that break HTTP, by what is wrong, with bodies that answer no request. Each takes the id of an attempt.
var MalformedHeads = map[string]string{
	"status 000":                 "HTTP/1.1 000 Zero\r\n" + malformedFields + "Content-Length: 9\r\n\r\nmalformed",
	"blank in a field's name":    "HTTP/1.1 200 OK\r\n" + malformedFields + "X Foo: 1\r\nContent-Length: 9\r\n\r\nmalformed",
	"blank after a field's name": "HTTP/1.1 200 OK\r\n" + malformedFields + "Content-Length : 9\r\nConnection: close\r\n\r\nmalformed",
	"HTTP/1.0 with chunks":       "HTTP/1.0 200 OK\r\n" + malformedFields + "Transfer-Encoding: chunked\r\n\r\n9\r\nmalformed\r\n0\r\n\r\n",
}

const malformedFields = "X-Attempt-Id: %[1]s\r\nX-Response-Seal: s\r\n"

// serveMalformed sends a malformed answer, and closes the connection.
func serveMalformed(w http.ResponseWriter, id, kind string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, MalformedHeads[kind], id)
}

// resetsUpload answers a long upload before it has arrived, with half of an answer without a length, and resets the connection, if the
// replica has that fault. It reports whether it did.
func (r *Replica) resetsUpload(w http.ResponseWriter, req *http.Request) bool {
	r.mu.Lock()
	resets := r.faults.ResetUploads
	r.mu.Unlock()
	if !resets || req.ContentLength < longUpload {
		return false
	}
	io.CopyN(io.Discard, req.Body, earlyRead)
	a := &Arrival{At: time.Now(), ID: req.Header.Get("X-Attempt-Id"), Method: req.Method, Target: req.RequestURI, Header: req.Header.Clone()}
	if _, refuse := r.receive(a); refuse != 0 {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	text := CompleteResponse(a.ID)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+malformedFields+"\r\n%[2]s", a.ID, text[:len(text)/2])
	if tcp, ok := conn.(interface{ CloseWrite() error }); ok && rand.N(2) == 0 {
		tcp.CloseWrite() // the end of the answer's direction comes before the reset
	}
	time.Sleep(rand.N(maxBeforeReset))
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
	return true
}
