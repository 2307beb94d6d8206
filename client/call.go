package client

import (
	"context"
	crand "crypto/rand"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"wigeondale/clock"
	"wigeondale/fleet"
)

// CallRequest is one call of a plain service.
type CallRequest struct {
	Service       string
	Method        string // GET when empty
	Path          string
	Body          []byte
	Key           string // idempotency key; made when empty
	NonIdempotent bool   // also true by HTTP's own rule for POST and PATCH
	Timeout       time.Duration
	Priority      fleet.Priority
}

// CallResult is the answer of a plain service.
type CallResult struct {
	Key      string
	Status   int
	Body     []byte
	Outcome  fleet.Outcome
	Endpoint string
	Duration time.Duration
}

// maxAnswer bounds a plain service's answer, in bytes.
const maxAnswer = 16 << 20

// Call asks a plain service. A try is repeated at the next endpoint only when
// it surely did not run or when the call is idempotent.
func (c *Client) Call(ctx context.Context, req CallRequest) (CallResult, error) {
	if len(c.endpoints) == 0 {
		return CallResult{Outcome: fleet.NotRun}, Error.Wrap(ErrNoEndpoint)
	}
	if req.Method == "" {
		req.Method = http.MethodGet
	}
	if req.Key == "" {
		req.Key = crand.Text()
	}
	if req.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Timeout)
		defer cancel()
	}
	began := time.Now()
	res, err := c.callLoop(ctx, req)
	res.Key = req.Key
	res.Duration = time.Since(began)
	return res, Error.Wrap(err)
}

func (c *Client) callLoop(ctx context.Context, req CallRequest) (CallResult, error) {
	at := c.firstEndpoint()
	mayHave := false
	res := CallResult{Outcome: fleet.NotRun}
	for i := range c.opts.MaxTries {
		endpoint := c.endpoints[(at+i)%len(c.endpoints)]
		next, err := c.callOnce(ctx, req, endpoint)
		if err == nil {
			return next, nil
		}
		res = next
		wait := c.backoff(i)
		var ref *Refusal
		if errors.As(err, &ref) {
			res.Outcome = ref.Outcome
			mayHave = mayHave || ref.Outcome != fleet.NotRun
			wait = max(wait, ref.RetryAfter)
		} else if !neverLeft(err) {
			mayHave = true
		}
		if mayHave && res.Outcome == fleet.NotRun {
			res.Outcome = fleet.Unknown
		}
		if !mayCallAgain(req, ref, mayHave) {
			return res, err
		}
		if !clock.Sleep(ctx, wait) {
			return res, ctx.Err()
		}
	}
	return res, ErrTriesExhausted
}

func mayCallAgain(req CallRequest, ref *Refusal, mayHave bool) bool {
	if ref != nil {
		return ref.again()
	}
	return !mayHave || !req.nonIdempotent()
}

func (r CallRequest) nonIdempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete:
		return r.NonIdempotent
	}
	return true
}

func (c *Client) callOnce(ctx context.Context, req CallRequest, endpoint string) (CallResult, error) {
	res := CallResult{Outcome: fleet.NotRun, Endpoint: endpoint}
	url := endpoint + "/services/" + req.Service + "/" + strings.TrimPrefix(req.Path, "/")
	hreq, err := newRequest(ctx, req.Method, url, req.Body)
	if err != nil {
		return res, err
	}
	c.setHeaders(hreq.Header, req.Key, req.NonIdempotent, req.Priority)
	setTimeout(ctx, hreq.Header)
	resp, err := c.opts.HTTP.Do(hreq)
	if err != nil {
		return res, err
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	if isRefusal(resp) {
		return res, readRefusal(resp)
	}
	res.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return res, err
	}
	res.Outcome = fleet.Complete
	return res, nil
}

// isRefusal tells a router's refusal from the service's own answer.
func isRefusal(resp *http.Response) bool {
	switch fleet.Outcome(resp.Header.Get("Wigeon-Outcome")) {
	case fleet.NotRun, fleet.Failed, fleet.Unknown:
		return true
	}
	return false
}
