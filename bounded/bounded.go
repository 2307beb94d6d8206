// Package bounded bounds what this program reads from HTTP servers, and confirms where it ends.
//
// A server in trouble may send bytes that are no answer, without end. Three defaults of net/http
// let it: the head of an answer, and each interim answer, may have 10 MB; the body of an answer
// that switches the protocol (101) ignores the end of the request's context; and a body is read
// for as long as it lasts. Memory then grows by megabytes for each such answer, or a goroutine and
// a connection stay for good, which would be noticed only as a slow leak.
//
// net/http also reads heads that the syntax of HTTP doesn't allow. Package bounded checks them as they arrive.
package bounded

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("bounded")

var (
	// ErrTooLong means that an answer is longer than an answer to the request may be.
	ErrTooLong = errors.New("answer too long")
	// ErrSwitched means that an answer switches to another protocol, which no request of this
	// program asks for.
	ErrSwitched = errors.New("answer switches the protocol")
)

// MaxHeadBytes bounds the head of an answer: status line and header. net/http applies it again to each
// interim answer; package backend bounds their sum by it.
// Our own heads and those of the platform have less than 2 KB. A plain service may add cookies and
// policies, of which web browsers and common proxies take 8 to 32 KB.
const MaxHeadBytes = 64 << 10

// drainTimeout bounds how long the rest of a short answer is waited for. The rest arrives with the
// head or right after it; without it the next request needs a new connection, which takes a few
// milliseconds.
const drainTimeout = 50 * time.Millisecond

// Transport is an http.Transport that returns no malformed answer, and none that switches the protocol.
type Transport struct{ *http.Transport }

// NewTransport bounds and checks the heads of the answers that t receives, and has its connections end as Conn does.
func NewTransport(t *http.Transport) Transport {
	t.MaxResponseHeaderBytes = MaxHeadBytes
	if t.DialContext == nil {
		t.DialContext = (&net.Dialer{}).DialContext
	}
	t.DialContext = ConfirmEnds(t.DialContext)
	CheckAnswers(t)
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return CheckStatus(CheckSwitch(roundTrip(t.Transport, req)))
}

// CheckSwitch returns its arguments, or an error for an answer that switches the protocol.
func CheckSwitch(resp *http.Response, err error) (*http.Response, error) {
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close() // the connection is given up, whatever Close returns
		return nil, Error.Wrap(ErrSwitched)
	}
	return resp, err
}

// Reader reads at most limit bytes of r, and then returns an error that wraps ErrTooLong. An
// io.LimitReader would return io.EOF, as if the answer were complete.
type Reader struct {
	r     io.Reader
	limit int64
	left  int64
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader, limit int64) *Reader { return &Reader{r: r, limit: limit, left: limit} }

// Reset allows the next message of a stream of messages to have as many bytes as the first.
func (b *Reader) Reset() { b.left = b.limit }

// Read implements io.Reader.
func (b *Reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	// One byte more than allowed is read, to see whether the answer ends at the limit.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.r.Read(p)
	if int64(n) > b.left {
		n, b.left = int(b.left), 0
		return n, Error.New("%w: more than %d bytes", ErrTooLong, b.limit)
	}
	b.left -= int64(n)
	return n, err
}

// ReadAll reads the body of resp, which may have limit bytes. If the head states that it is
// longer, nothing is read.
func ReadAll(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, Error.New("%w: %d bytes, more than %d", ErrTooLong, resp.ContentLength, limit)
	}
	data, err := io.ReadAll(NewReader(resp.Body, limit))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return data, nil
}

// DecodeJSON decodes the body of resp, one JSON value of at most limit bytes. Bytes that are no
// JSON end it at the first of them.
func DecodeJSON(resp *http.Response, limit int64, v any) error {
	if resp.ContentLength > limit {
		return Error.New("%w: %d bytes, more than %d", ErrTooLong, resp.ContentLength, limit)
	}
	dec := json.NewDecoder(NewReader(resp.Body, limit))
	if err := dec.Decode(v); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // an empty body is not the end of an answer
		}
		return Error.Wrap(err)
	}
	// The body is read to its end, so that the connection can be used again.
	if _, err := dec.Token(); err != io.EOF {
		return Error.New("bytes after the answer: %w", errors.Join(errTrailing, err))
	}
	return nil
}

var errTrailing = errors.New("not a single JSON value")

// ReadPrefix returns at most limit bytes of a body that is only shown or logged. It waits a short
// time for them. The error, which wraps ErrMalformed, means that the answer is no answer.
func ReadPrefix(body io.ReadCloser, limit int64) ([]byte, error) {
	timer := time.AfterFunc(drainTimeout, func() { body.Close() })
	defer timer.Stop()
	data, err := io.ReadAll(io.LimitReader(body, limit))
	if errors.Is(err, ErrMalformed) {
		return nil, err
	}
	return data, nil // a part is enough
}

// Drain closes a body that is not needed. If the body ends within limit bytes and a short time, the
// connection can be used again. The error, which wraps ErrMalformed, means that the answer is no answer.
func Drain(body io.ReadCloser, limit int64) error {
	defer body.Close()
	timer := time.AfterFunc(drainTimeout, func() { body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, limit+1)
	if b, ok := body.(checkedBody); ok {
		return b.answers.Err()
	}
	return nil
}
