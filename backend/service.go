package backend

import (
	"bytes"
	"context"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"wigeondale/fleet"
)

const requestIDHeader = "X-Request-Id"

// Call is one call of a service that is not a model engine.
type Call struct {
	Method     string
	Path       string // below the service's address, beginning with /
	RawPath    string // optional escaped form of Path, as in net/url
	RawQuery   string
	Header     http.Header
	Body       []byte
	RequestID  string
	Idempotent bool
}

// ServiceClient calls services that are not model engines. It is safe for
// concurrent use.
type ServiceClient struct {
	conns *Conns
	// Gate, if set, decides whether a call may be sent.
	Gate Gate
}

// NewServiceClient returns a client with its own connection pool.
func NewServiceClient() *ServiceClient { return NewServiceClientWith(nil) }

// NewServiceClientWith returns a client that opens its connections with dial, or with a net.Dialer if
// dial is nil.
func NewServiceClientWith(dial DialFunc) *ServiceClient {
	return &ServiceClient{conns: NewConns(DialConfig{Timeout: dialTimeout, BufferBytes: readBufferBytes, DropUnsent: true, Dial: dial, Named: namedCall})}
}

// CloseIdle closes connections that carry no request.
func (c *ServiceClient) CloseIdle() { c.conns.CloseIdleConnections() }

// Do sends a call and returns the service's answer, whatever the answer's status is; the
// caller closes the answer's body. Redirects are not followed. ErrNotSent means that no
// byte was sent, ErrBroken that the call may have run, ErrMismatch that the answer names
// another request. A call that is not idempotent is sent at most once.
func (c *ServiceClient) Do(ctx context.Context, b fleet.Backend, call Call) (*http.Response, error) {
	req, err := newCallRequest(ctx, b, call)
	if err != nil {
		return nil, Error.New("%w: %w", ErrNotSent, err)
	}
	x := Exchange{Request: req, Server: b.ID, Key: call.RequestID, Check: func(resp *http.Response) error {
		if echo := resp.Header.Values(requestIDHeader); len(echo) > 1 || len(echo) == 1 && echo[0] != call.RequestID {
			return Error.New("%w: it names request %q", ErrMismatch, echo)
		}
		return nil
	}, Last: namesNoRequest}
	resp, err := sendWork(c.conns, c.Gate, nil, b, x)
	if err != nil {
		return nil, err
	}
	resp.Header.Del(limitHeader)
	resp.Header.Del(leavingHeader)
	return resp, nil
}

// namesNoRequest reports whether an answer names no request. A late copy of such an answer could be taken for that to any
// other call.
func namesNoRequest(resp *http.Response) bool { return resp.Header.Get(requestIDHeader) == "" }

func newCallRequest(ctx context.Context, b fleet.Backend, call Call) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: b.Addr, Path: call.Path, RawPath: call.RawPath, RawQuery: call.RawQuery}
	req, err := http.NewRequestWithContext(ctx, call.Method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	copyHeader(req.Header, call.Header)
	req.Header.Set(requestIDHeader, call.RequestID)
	if len(call.Body) > 0 {
		req.Body = OnceBody{bytes.NewReader(call.Body)}
		req.ContentLength = int64(len(call.Body))
	}
	if !call.Idempotent {
		ForbidReplay(req)
	}
	return req, nil
}

// ForbidReplay prevents net/http from sending a request twice.
//
// If a server reads a request on a reused connection, acts on it and closes the connection,
// the transport sees the connection end without an answer. The transport resends the
// request if it considers the request replayable: a GET without a body, or any request with
// an idempotency header. The server then runs the request twice, which is visible only in
// the server's own records. ForbidReplay therefore does two things. It gives a GET (or
// another method that counts as replayable) without a body an empty body that can't be
// rewound, which adds no bytes. It removes the idempotency headers, without which no other
// request is replayable.
func ForbidReplay(req *http.Request) {
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	req.GetBody = nil
	if req.Body != nil && req.Body != http.NoBody {
		return
	}
	switch req.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = OnceBody{strings.NewReader("")}
	}
}

// copyHeader copies src to dst, except the headers of the caller's connection and the
// headers meant for the router only, above all the caller's API key.
func copyHeader(dst, src http.Header) {
	CopyHeader(dst, src, routerHeaders)
	for name := range dst {
		if strings.HasPrefix(name, "Wigeon-") {
			delete(dst, name)
		}
	}
}

// CopyHeader copies the end-to-end headers of src to dst, except the headers named in
// except, whose names are in canonical form.
func CopyHeader(dst, src http.Header, except []string) {
	drop := map[string]bool{}
	for _, name := range connectionHeaders {
		drop[name] = true
	}
	for _, name := range except {
		drop[name] = true
	}
	for _, v := range src.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if drop[name] {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// connectionHeaders are the headers that apply to a single connection.
var connectionHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// routerHeaders are meant for the router only, and are not forwarded to services.
var routerHeaders = []string{"Authorization", "Last-Event-Id"}
