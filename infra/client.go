package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/bounded"
)

const (
	maxIdleConns    = 16
	idleConnTimeout = 30 * time.Second
	// maxResponseBytes bounds one response, which may be a page of values of up to 1 MB
	// each.
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 4 << 10
)

// These are the defaults of KVConfig.
const (
	DefaultCallTimeout = time.Second
	DefaultMaxInFlight = 32
)

// newTransport returns a transport that never sends a request twice. net/http resends a
// request when a reused connection breaks and the request has GetBody or counts as
// idempotent, and HTTP/2 resends after GOAWAY. The client would then see one call where the
// service saw two writes. Therefore the transport uses HTTP/1 only and no proxy, and
// newPost clears GetBody.
func newTransport(dialTimeout time.Duration) bounded.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return bounded.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		Protocols:           &protocols,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
}

// newHTTPClient returns a client that doesn't follow redirects, because following a
// redirect sends the request again.
func newHTTPClient(dialTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: newTransport(dialTimeout),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// newPost returns a POST request without GetBody. http.NewRequestWithContext sets
// GetBody for a body of this type, and net/http could then resend the request.
func newPost(ctx context.Context, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// effect distinguishes calls that change stored data (writes) from calls that don't change
// it (reads).
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// wrapFailure returns err as ErrUnknownOutcome if the call is a write that may have reached
// the service, else as ErrUnavailable. connected is false when the call never had a
// connection, or when the service refused the call before the call could take effect: in
// both cases nothing can have been applied.
func wrapFailure(e effect, connected bool, err error) error {
	if e == writes && connected {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnknownOutcome, err))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
}

// statusError converts a response whose status isn't 200 into an error. Only the statuses
// that the service returns before it proposes a write (400, 404 and 429) prove that nothing
// was applied; a 5xx response may be sent while the service is still applying the write. A malformed response proves nothing.
func statusError(e effect, resp *http.Response) error {
	text, malformed := bounded.ReadPrefix(resp.Body, maxErrorBytes)
	if malformed != nil {
		return wrapFailure(e, true, malformed)
	}
	err := fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return wrapFailure(e, false, err)
	case http.StatusNotFound:
		return Error.Wrap(fmt.Errorf("%w: %w: %w", ErrRejected, ErrLeaseNotFound, err))
	case http.StatusBadRequest:
		return Error.Wrap(fmt.Errorf("%w: %w", ErrRejected, err))
	}
	return wrapFailure(e, true, err)
}

// meter counts calls by kind and result, and measures their duration.
type meter struct {
	set     *metrics.Set
	service string
}

func (m meter) record(kind string, start time.Time, err error) {
	if m.set == nil {
		return
	}
	labels := fmt.Sprintf(`{service=%q,kind=%q,result=%q}`, m.service, kind, resultLabel(err))
	m.set.GetOrCreateCounter("wigeon_platform_calls_total" + labels).Inc()
	hist := fmt.Sprintf(`wigeon_platform_call_seconds{service=%q,kind=%q}`, m.service, kind)
	m.set.GetOrCreateHistogram(hist).UpdateDuration(start)
}

func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrUnknownOutcome):
		return "unknown"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	}
	return "rejected"
}

// poster sends JSON calls to a service, with a timeout and a bound on the number of
// concurrent calls.
type poster struct {
	base    string
	client  *http.Client
	timeout time.Duration
	slots   chan struct{}
	meter   meter
}

func (p *poster) call(ctx context.Context, kind, path string, e effect, in, out any) error {
	start := time.Now()
	err := p.callWithLimits(ctx, path, e, in, out)
	p.meter.record(kind, start, err)
	return err
}

func (p *poster) callWithLimits(ctx context.Context, path string, e effect, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return wrapFailure(e, false, fmt.Errorf("waiting for a slot: %w", context.Cause(ctx)))
	}
	return p.send(ctx, path, e, in, out)
}

func (p *poster) send(ctx context.Context, path string, e effect, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return wrapFailure(e, false, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newPost(ctx, p.base+path, body)
	if err != nil {
		return wrapFailure(e, false, err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return wrapFailure(e, connected.Load(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(e, resp)
	}
	if err := bounded.DecodeJSON(resp, maxResponseBytes, out); err != nil {
		return wrapFailure(e, true, err)
	}
	return nil
}

// read sends one request that has no body and doesn't change stored data, and returns the
// response. The caller closes the response body.
func read(ctx context.Context, client *http.Client, method, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, wrapFailure(reads, false, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, wrapFailure(reads, false, err)
	}
	return resp, nil
}
