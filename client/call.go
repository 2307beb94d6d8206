package client

import (
	"context"
	crand "crypto/rand"
	"errors"
	"net/http"
	"strings"
	"time"

	"wigeondale/bounded"
	"wigeondale/clock"
	"wigeondale/fleet"
)

// CallRequest is one call of a service that is not a model engine.
type CallRequest struct {
	Service       string
	Method        string // GET when empty
	Path          string
	Body          []byte
	Key           string // idempotency key; generated when empty
	NonIdempotent bool   // methods other than GET, HEAD, PUT and DELETE are non-idempotent in any case
	Timeout       time.Duration
	Priority      fleet.Priority
}

// CallResult is the result of a call: the answer of the service or, if the call failed,
// what this client knows about its outcome.
type CallResult struct {
	Key      string
	Status   int
	Body     []byte
	Outcome  fleet.Outcome
	Endpoint string
	Duration time.Duration
}

// maxAnswerBytes bounds the answer of a service.
const maxAnswerBytes = 16 << 20

// Call calls a service that is not a model engine. A try that broke off is repeated at the
// next endpoint only if it certainly did not run or if the call is idempotent. A try that a
// router refused is repeated only if the refusal allows it (Refusal.retryable).
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
	startedAt := time.Now()
	res, err := c.callLoop(ctx, req)
	res.Key = req.Key
	res.Duration = time.Since(startedAt)
	return res, Error.Wrap(err)
}

func (c *Client) callLoop(ctx context.Context, req CallRequest) (CallResult, error) {
	first := c.firstEndpoint()
	mayHaveRun := false
	res := CallResult{Outcome: fleet.NotRun}
	for i := range c.opts.MaxTries {
		endpoint := c.endpoints[(first+i)%len(c.endpoints)]
		next, err := c.callOnce(ctx, req, endpoint)
		if err == nil {
			return next, nil
		}
		res = next
		wait := c.backoff(i)
		var ref *Refusal
		if errors.As(err, &ref) {
			res.Outcome = ref.Outcome
			mayHaveRun = mayHaveRun || ref.Outcome != fleet.NotRun
			wait = max(wait, ref.RetryAfter)
		} else if !notSent(err) {
			mayHaveRun = true
		}
		if mayHaveRun && res.Outcome == fleet.NotRun {
			res.Outcome = fleet.Unknown
		}
		if !mayRetryCall(req, ref, mayHaveRun) {
			return res, err
		}
		if !clock.Sleep(ctx, wait) {
			return res, ctx.Err()
		}
	}
	return res, ErrTriesExhausted
}

func mayRetryCall(req CallRequest, ref *Refusal, mayHaveRun bool) bool {
	if ref != nil {
		return ref.retryable()
	}
	return !mayHaveRun || !req.nonIdempotent()
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
	res.Body, err = bounded.ReadAll(resp, maxAnswerBytes)
	if err != nil {
		return res, err
	}
	res.Outcome = fleet.Complete
	return res, nil
}

// isRefusal reports whether the answer is not stated to be that of the service: it is a failure sent by the router, or the answer of
// something between.
func isRefusal(resp *http.Response) bool {
	outcomes := resp.Header.Values("Wigeon-Outcome")
	return len(outcomes) != 1 || fleet.Outcome(outcomes[0]) != fleet.Complete
}
