package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"

	"wigeondale/fleet"
)

const (
	incarnationHeader = "X-Engine-Incarnation"
	softwareHeader    = "X-Engine-Software"
	// maxAnswerBytes bounds answers that aren't streams. The largest is a page of cache events, of
	// 60 bytes each.
	maxAnswerBytes = 1 << 20
	// maxRefusalBytes bounds a refusal: a code, and a message for people.
	maxRefusalBytes = 16 << 10
)

// Client sends requests to model engines. It is safe for concurrent use.
type Client struct {
	conns *Conns
	ids   requestIDs
	// Gate, if set, decides whether new work may be sent.
	Gate Gate
	// Unknown, if set, counts the headers of answers to new work that this package does not know.
	Unknown *UnknownHeaders
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client { return &Client{conns: newConns(nil, nil), ids: newRequestIDs()} }

// SetConnections sets what opens the client's connections, a net.Dialer if dial is nil, and their
// observer. It must be called before use.
func (c *Client) SetConnections(dial DialFunc, o ConnObserver) {
	misplaced := c.conns.misplaced
	c.conns = newConns(dial, o)
	c.SetMisplaced(misplaced)
}

// CloseIdle closes connections that carry no request.
func (c *Client) CloseIdle() { c.conns.CloseIdleConnections() }

type startExt struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	Version      string `json:"version"`
	Adapter      string `json:"adapter"`
	ResumeText   string `json:"resume_text,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	LingerMS     int64  `json:"linger_ms"`
}

type startBody struct {
	Model     string         `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	Priority  enginePriority `json:"priority"`
	Ext       startExt       `json:"ext"`
}

// Open starts an attempt. *Refused and ErrNotSent mean that the attempt did not run;
// ErrBroken means that the attempt may have run.
func (c *Client) Open(ctx context.Context, b fleet.Backend, r StartRequest) (*Stream, error) {
	body, err := json.Marshal(startBody{
		Model: r.Ref.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true, Priority: priorityOf(r),
		Ext: startExt{
			RequestID: r.ID, Attempt: r.Attempt, Version: r.Ref.Version, Adapter: r.Ref.Adapter,
			ResumeText: r.ResumeText, ResumeTokens: r.ResumeTokens, LingerMS: r.Linger.Milliseconds(),
		},
	})
	if err != nil {
		return nil, Error.New("%w: %w", ErrNotSent, err)
	}
	req, err := newEngineRequest(ctx, http.MethodPost, b, "/v1/completions", body)
	if err != nil {
		return nil, err
	}
	resp, err := sendWork(c.conns, c.Gate, c.Unknown, b, c.identified(b, req, true))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, parseRefusal(resp)
	}
	return newStream(resp, StreamID{Request: r.ID, Attempt: r.Attempt, Ref: r.Ref}), nil
}

// Attach reads an attempt that an engine still has, starting at token index from. The
// engine disconnects any other reader of the stream. If the engine doesn't have the stream,
// the error is ErrUnknownStream.
func (c *Client) Attach(ctx context.Context, b fleet.Backend, id StreamID, from int) (*Stream, error) {
	resp, err := c.send(ctx, http.MethodGet, b, streamPath(id.Request, id.Attempt)+"?from="+strconv.Itoa(from), nil, true)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, unknownStream(resp)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, parseRefusal(resp)
	}
	return newStream(resp, id), nil
}

// CancelResult is an engine's answer to a cancel.
type CancelResult struct {
	Generated   int // total number of tokens that the attempt generated
	Incarnation string
}

// Cancel ends an attempt on the engine. It is idempotent. If the engine doesn't have the
// stream, the error is ErrUnknownStream.
func (c *Client) Cancel(ctx context.Context, b fleet.Backend, request string, attempt int) (CancelResult, error) {
	var out struct {
		Generated int `json:"generated"`
	}
	resp, err := c.send(ctx, http.MethodDelete, b, streamPath(request, attempt), nil, false)
	if err != nil {
		return CancelResult{}, err
	}
	res := CancelResult{Incarnation: resp.Header.Get(incarnationHeader)}
	if resp.StatusCode == http.StatusNotFound {
		return res, unknownStream(resp)
	}
	err = decodeResponse(resp, &out)
	res.Generated = out.Generated
	return res, err
}

// Load fetches the engine's report of its current load.
func (c *Client) Load(ctx context.Context, b fleet.Backend) (fleet.LoadReport, error) {
	var r fleet.LoadReport
	err := c.get(ctx, b, "/v1/load", &r)
	return r, err
}

// CacheEvents fetches the cache events with a sequence number above after.
func (c *Client) CacheEvents(ctx context.Context, b fleet.Backend, after uint64) (CacheEvents, error) {
	var r CacheEvents
	err := c.get(ctx, b, "/v1/cache-events?after="+strconv.FormatUint(after, 10), &r)
	return r, err
}

// Order sets an engine's desired state. ErrStaleFence means that the engine has seen a
// higher fencing number; Fence in the returned status is then that number.
func (c *Client) Order(ctx context.Context, b fleet.Backend, o OrderRequest) (OrderStatus, error) {
	if o.Desired == nil {
		o.Desired = []fleet.ModelRef{}
	}
	body, err := json.Marshal(o)
	if err != nil {
		return OrderStatus{}, Error.Wrap(err)
	}
	resp, err := c.send(ctx, http.MethodPut, b, "/v1/orders", body, false)
	if err != nil {
		return OrderStatus{}, err
	}
	if resp.StatusCode != http.StatusConflict {
		var s OrderStatus
		err = decodeResponse(resp, &s)
		return s, err
	}
	var stale struct {
		Fence uint64 `json:"fence"`
	}
	resp.StatusCode = http.StatusOK
	if err := decodeResponse(resp, &stale); err != nil {
		return OrderStatus{}, err
	}
	return OrderStatus{Fence: stale.Fence}, Error.Wrap(ErrStaleFence)
}

// OrderStatus fetches an engine's desired state (as of its last order) and its actual
// state.
func (c *Client) OrderStatus(ctx context.Context, b fleet.Backend) (OrderStatus, error) {
	var s OrderStatus
	err := c.get(ctx, b, "/v1/orders", &s)
	return s, err
}

func (c *Client) get(ctx context.Context, b fleet.Backend, path string, v any) error {
	resp, err := c.send(ctx, http.MethodGet, b, path, nil, false)
	if err != nil {
		return err
	}
	return decodeResponse(resp, v)
}

// send sends one request that starts no work. streamed reports that its answer is a stream.
func (c *Client) send(ctx context.Context, method string, b fleet.Backend, path string, body []byte, streamed bool) (*http.Response, error) {
	req, err := newEngineRequest(ctx, method, b, path, body)
	if err != nil {
		return nil, err
	}
	return c.conns.RoundTrip(c.identified(b, req, streamed))
}

// identified gives a request an id of its own, which its answer must name. A refusal, a report and the result of a cancel
// name no attempt, so that without the id they could be those of any other request. In a stream each chunk names it.
func (c *Client) identified(b fleet.Backend, req *http.Request, streamed bool) Exchange {
	id := c.ids.next()
	req.Header.Set(requestIDHeader, id)
	return Exchange{Request: req, Server: b.ID, Check: func(resp *http.Response) error {
		echo := resp.Header.Values(requestIDHeader)
		if len(echo) == 1 && echo[0] == id || len(echo) == 0 && streamed && resp.StatusCode == http.StatusOK {
			return nil
		}
		return Error.New("%w: it names request %q, not %q", ErrMismatch, echo, id)
	}}
}

// requestIDs makes ids of requests that no other process or lifetime uses.
type requestIDs struct {
	prefix string
	last   *atomic.Uint64
}

func newRequestIDs() requestIDs {
	return requestIDs{prefix: strconv.FormatUint(rand.Uint64(), 36) + "-", last: &atomic.Uint64{}}
}

func (r requestIDs) next() string { return r.prefix + strconv.FormatUint(r.last.Add(1), 36) }

// newEngineRequest returns a request whose body has a content length but can't be rewound, so
// net/http never resends it.
func newEngineRequest(ctx context.Context, method string, b fleet.Backend, path string, body []byte) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		r = OnceBody{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.Addr+path, r)
	if err != nil {
		return nil, Error.New("%w: %w", ErrNotSent, err)
	}
	if body != nil {
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func streamPath(request string, attempt int) string {
	return "/v1/streams/" + url.PathEscape(request) + "/" + strconv.Itoa(attempt)
}
