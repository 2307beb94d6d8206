// Package client is the caller's side of wigeondale. It streams one answer
// through any of several routers and keeps what a router may lose: the text
// delivered so far and the id of the last event.
//
// Failure story: a router may die, freeze or be replaced while it serves a
// stream. The symptom is a connection that breaks, ends without its last
// event, or stays silent. The client then asks the next router to go on from
// the last event id and sends back the text that it holds, so that the answer
// continues with the next token and never starts anew. A final refusal ends
// the request; a refusal that says not-run is tried again after Retry-After.
package client

import (
	"crypto/tls"
	"crypto/x509"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("client")

// Defaults of Options.
const (
	DefaultMaxTries   = 12
	DefaultBackoff    = 50 * time.Millisecond
	DefaultBackoffMax = 2 * time.Second
)

// Options tunes a Client. The zero value takes every default.
type Options struct {
	// HTTP sends the requests. Its Timeout must be zero: streams are long.
	HTTP *http.Client
	// RootCAs are the CAs of the routers' certificates, for endpoints such as
	// "https://127.0.0.1:8080"; nil takes the system's. It is for the HTTP client
	// that New makes: one that is given has its own.
	RootCAs *x509.CertPool
	// MaxTries bounds how often one request is sent, the first time included.
	MaxTries int
	// Backoff is the mean wait before the second try without progress; it
	// doubles with each further one up to BackoffMax.
	Backoff, BackoffMax time.Duration
	// IdleTimeout ends a connection that brought no byte for so long. Zero
	// waits for ever: a frozen router is then noticed by the deadline only.
	IdleTimeout time.Duration
	// RoundRobin starts each request at the next endpoint in turn; otherwise each
	// request starts at the first.
	RoundRobin bool
	// OnConnect is told of each endpoint that begins to answer a request.
	OnConnect func(endpoint string)
	// Rand returns values in [0,1) for jitter.
	Rand func() float64
}

// Client sends requests to a set of routers. It is safe for concurrent use.
type Client struct {
	endpoints []string
	apiKey    string
	opts      Options
	turn      atomic.Uint64
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
	Key           string // idempotency key; made when empty
	NonIdempotent bool
	Timeout       time.Duration // the caller's deadline; zero means none
	Priority      fleet.Priority
}

// Gap is a wait between two tokens during which the client reconnected.
type Gap struct {
	EventsBefore int // stream events that had been delivered before the wait
	Duration     time.Duration
}

// Result is what the caller holds at the end, also beside an error.
type Result struct {
	Key              string
	Text             string
	Outcome          fleet.Outcome
	Reconnects       int
	Gaps             []Gap
	TimeToFirstToken time.Duration // zero when no token came
	Finish           string        // finish reason of the last token
	Endpoint         string        // the endpoint that served last
	Events           int           // stream events that brought text
	RetryAfter       time.Duration // of the refusal that ended the request
}

func newHTTPClient(roots *x509.CertPool) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	t.MaxIdleConnsPerHost = 64
	return &http.Client{
		Transport: t,
		// A redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (c *Client) firstEndpoint() int {
	if !c.opts.RoundRobin {
		return 0
	}
	return int(c.turn.Add(1)-1) % len(c.endpoints)
}

// backoff is the jittered wait before another try; fruitless counts the tries
// that brought nothing since the last progress.
func (c *Client) backoff(fruitless int) time.Duration {
	d := c.opts.Backoff << min(fruitless, 16)
	if d > c.opts.BackoffMax || d <= 0 {
		d = c.opts.BackoffMax
	}
	return time.Duration(float64(d) * (0.5 + c.opts.Rand()))
}
