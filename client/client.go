// Package client is the client library for callers of wigeondale. It streams an answer
// through any of several routers and keeps the state that would be lost with a router: the
// text delivered so far and the id of the last event.
//
// A router may crash, freeze or be replaced while it serves a stream. The connection then
// breaks, ends without the last event of the answer, or stays silent. The client reconnects
// to the next router with the last event id and the text received so far, so that the
// answer continues with the next token and does not start from the beginning. A refusal by a
// router ends the request. Exception: after a refusal that allows another try
// (Refusal.retryable), the client tries again after Retry-After.
package client

import (
	"crypto/tls"
	"crypto/x509"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/bounded"
	"wigeondale/fleet"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("client")

// These are the defaults of Options.
const (
	DefaultMaxTries   = 12
	DefaultBackoff    = 50 * time.Millisecond
	DefaultBackoffMax = 2 * time.Second
)

// Options configures a Client. The zero value uses the defaults.
type Options struct {
	// HTTP sends the requests. Its Timeout must be zero, because streams may last
	// long.
	HTTP *http.Client
	// RootCAs are the CAs of the routers' certificates, for endpoints such as
	// "https://127.0.0.1:8080"; nil means the system's CAs. RootCAs is used only if HTTP is
	// nil.
	RootCAs *x509.CertPool
	// MaxTries is the maximum number of times one request is sent, including the
	// first.
	MaxTries int
	// Backoff is the mean wait before the second try without progress. It doubles
	// with each further try without progress, up to BackoffMax.
	Backoff, BackoffMax time.Duration
	// IdleTimeout is how long a connection may deliver no byte before the client closes it.
	// With zero, a frozen router is noticed only when the deadline of the request passes.
	IdleTimeout time.Duration
	// RoundRobin starts each request at the next endpoint in round-robin order. If
	// RoundRobin is false, each request starts at the first endpoint.
	RoundRobin bool
	// OnConnect, if not nil, is called with the endpoint each time a router starts to
	// answer a request.
	OnConnect func(endpoint string)
	// Rand returns values in [0,1) for jitter; nil means math/rand/v2.
	Rand func() float64
}

// Client sends requests to a set of routers. It is safe for concurrent use.
type Client struct {
	endpoints []string
	apiKey    string
	opts      Options
	next      atomic.Uint64
}

// New returns a client of the routers at endpoints, such as
// "http://127.0.0.1:8080".
func New(endpoints []string, apiKey string, opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = newHTTPClient(opts.RootCAs)
	}
	if opts.MaxTries <= 0 {
		opts.MaxTries = DefaultMaxTries
	}
	if opts.Backoff <= 0 {
		opts.Backoff = DefaultBackoff
	}
	if opts.BackoffMax <= 0 {
		opts.BackoffMax = DefaultBackoffMax
	}
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	return &Client{endpoints: endpoints, apiKey: apiKey, opts: opts}
}

// Request is one generation.
type Request struct {
	Model         string
	Prompt        string
	MaxTokens     int
	Key           string // idempotency key; generated when empty
	NonIdempotent bool
	Timeout       time.Duration // time limit of the request; zero means none
	Priority      fleet.Priority
}

// Gap is a wait between two tokens during which the client reconnected.
type Gap struct {
	EventsBefore int // number of stream events delivered before the wait
	Duration     time.Duration
}

// Result is the result of a Request, over all its tries. Result is also filled if an error
// is returned.
type Result struct {
	Key              string
	Text             string
	Outcome          fleet.Outcome
	Reconnects       int
	Gaps             []Gap
	TimeToFirstToken time.Duration // time until the first token; zero if no token arrived
	Finish           string        // finish reason of the last token
	Endpoint         string        // the endpoint that was tried last
	Events           int           // number of stream events with text
	RetryAfter       time.Duration // of the refusal that ended the request
}

func newHTTPClient(roots *x509.CertPool) *http.Client {
	t := bounded.NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	t.Proxy = nil
	t.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	t.MaxIdleConnsPerHost = 64
	return &http.Client{
		Transport: t,
		// Redirects are not followed, because following a redirect would send the request a
		// second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (c *Client) firstEndpoint() int {
	if !c.opts.RoundRobin {
		return 0
	}
	return int(c.next.Add(1)-1) % len(c.endpoints)
}

// backoff returns the jittered wait before another try. triesWithoutProgress is
// the number of failed tries since the last progress.
func (c *Client) backoff(triesWithoutProgress int) time.Duration {
	d := c.opts.Backoff << min(triesWithoutProgress, 16)
	if d > c.opts.BackoffMax || d <= 0 {
		d = c.opts.BackoffMax
	}
	return time.Duration(float64(d) * (0.5 + c.opts.Rand()))
}
