package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	maxIdleConns    = 16
	idleConnTimeout = 30 * time.Second
	// maxAnswerBytes bounds one answer: a page of values of up to 1 MB each.
	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 4 << 10
)

// Defaults of KVConfig.
const (
	DefaultCallTimeout = time.Second
	DefaultMaxInFlight = 32
)

// newTransport returns a transport that never sends a request twice.
// net/http repeats a request on a broken reused connection when the request
// has GetBody or counts as idempotent, and HTTP/2 repeats after GOAWAY. A
// repeated write would be seen as one call here while the service saw two.
// So: HTTP/1 only, no proxy, and post clears GetBody.
func newTransport(dialTimeout time.Duration) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		Protocols:           &protocols,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// newHTTPClient returns a client that follows no redirect, because a redirect
// repeats the request.
func newHTTPClient(dialTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: newTransport(dialTimeout),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// newPost clears GetBody, which net/http sets for the body it is given.
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

// effect tells calls that change something from those that don't.
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// failure turns err into the package's terms. connected is false when no
// connection was ever had, so that no byte can have left.
func failure(e effect, connected bool, err error) error {
	if e == writes && connected {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnknownOutcome, err))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
}

// statusFailure reads a refusal. Of the statuses only those that the service
// gives before it proposes a write prove that nothing was applied; a 5xx may
// follow a proposal that is still under way.
func statusFailure(e effect, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return failure(e, false, err)
	case http.StatusNotFound:
		return Error.Wrap(fmt.Errorf("%w: %w: %w", ErrRejected, ErrLeaseNotFound, err))
	case http.StatusBadRequest:
		return Error.Wrap(fmt.Errorf("%w: %w", ErrRejected, err))
	}
	return failure(e, true, err)
}

// meter counts calls by kind and result, and times them.
type meter struct {
	set     *metrics.Set
	service string
}

func (m meter) done(kind string, start time.Time, err error) {
	if m.set == nil {
		return
	}
	labels := fmt.Sprintf(`{service=%q,kind=%q,result=%q}`, m.service, kind, result(err))
	m.set.GetOrCreateCounter("wigeon_platform_calls_total" + labels).Inc()
	hist := fmt.Sprintf(`wigeon_platform_call_seconds{service=%q,kind=%q}`, m.service, kind)
	m.set.GetOrCreateHistogram(hist).UpdateDuration(start)
}

func result(err error) string {
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

// poster makes JSON calls under a timeout and an in-flight bound.
type poster struct {
	base    string
	client  *http.Client
	timeout time.Duration
	slots   chan struct{}
	meter   meter
}

func (p *poster) call(ctx context.Context, kind, path string, e effect, in, out any) error {
	start := time.Now()
	err := p.bounded(ctx, path, e, in, out)
	p.meter.done(kind, start, err)
	return err
}

func (p *poster) bounded(ctx context.Context, path string, e effect, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return failure(e, false, fmt.Errorf("waiting for a slot: %w", context.Cause(ctx)))
	}
	return p.send(ctx, path, e, in, out)
}

func (p *poster) send(ctx context.Context, path string, e effect, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return failure(e, false, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newPost(ctx, p.base+path, body)
	if err != nil {
		return failure(e, false, err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return failure(e, connected.Load(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusFailure(e, resp)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failure(e, true, err)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return failure(e, true, err)
	}
	return nil
}

// read sends a request without a body that changes nothing. The caller closes
// the answer's body.
func read(ctx context.Context, client *http.Client, method, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, failure(reads, false, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, failure(reads, false, err)
	}
	return resp, nil
}
