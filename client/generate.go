package client

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wigeondale/bounded"
	"wigeondale/clock"
	"wigeondale/fleet"
)

// completionBody is the body of POST /v1/completions.
type completionBody struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	ResumeText string `json:"resume_text,omitempty"`
}

type completionChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// generateRun is the state of one request across all its tries.
type generateRun struct {
	c         *Client
	req       Request
	onToken   func(string)
	startedAt time.Time

	text                 strings.Builder
	res                  Result
	lastID               string
	lastToken            time.Time
	reconnecting         bool // a reconnect has started and no token has arrived since
	mayHaveRun           bool // bytes of an earlier try may have reached a router, so the request may have run
	triesWithoutProgress int
	stream               bool
}

// Generate streams one answer. onToken is called exactly once with the text of
// each event, in order; it may be nil. The Result is also filled if an error is
// returned. The error is a *Refusal if a router refused the request for good.
func (c *Client) Generate(ctx context.Context, req Request, onToken func(text string)) (Result, error) {
	return c.start(ctx, req, onToken, true)
}

// GenerateNonStreaming requests the answer as a single response, without streaming.
func (c *Client) GenerateNonStreaming(ctx context.Context, req Request) (Result, error) {
	return c.start(ctx, req, nil, false)
}

func (c *Client) start(ctx context.Context, req Request, onToken func(string), stream bool) (Result, error) {
	if len(c.endpoints) == 0 {
		return Result{Outcome: fleet.NotRun}, Error.Wrap(ErrNoEndpoint)
	}
	if req.Key == "" {
		req.Key = crand.Text()
	}
	if onToken == nil {
		onToken = func(string) {}
	}
	if req.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Timeout)
		defer cancel()
	}
	r := &generateRun{c: c, req: req, onToken: onToken, startedAt: time.Now(), stream: stream}
	r.res.Key = req.Key
	err := r.loop(ctx)
	r.res.Text = r.text.String()
	return r.res, Error.Wrap(err)
}

func (r *generateRun) loop(ctx context.Context) error {
	next := r.c.firstEndpoint()
	for range r.c.opts.MaxTries {
		r.res.Endpoint = r.c.endpoints[next%len(r.c.endpoints)]
		err := r.try(ctx, r.res.Endpoint)
		if err == nil {
			r.res.Outcome = fleet.Complete
			return nil
		}
		wait, retry := r.afterFailure(err)
		if !retry {
			return err
		}
		if !clock.Sleep(ctx, wait) {
			r.res.Outcome = r.unfinishedOutcome()
			return ctx.Err()
		}
		next++
	}
	r.res.Outcome = r.unfinishedOutcome()
	return ErrTriesExhausted
}

// afterFailure decides what happens after a failed try. It returns the wait before the next
// try, and false if the request has ended.
func (r *generateRun) afterFailure(err error) (time.Duration, bool) {
	var ref *Refusal
	if errors.As(err, &ref) {
		if !ref.retryable() {
			r.res.Outcome = r.correctOutcome(ref.Outcome)
			r.res.RetryAfter = ref.RetryAfter
			return 0, false
		}
		r.mayHaveRun = r.mayHaveRun || ref.Outcome != fleet.NotRun
		r.triesWithoutProgress++
		return max(ref.RetryAfter, r.c.backoff(0)), true
	}
	if !notSent(err) {
		r.mayHaveRun = true
	}
	wait := r.c.backoff(r.triesWithoutProgress)
	if r.lastID != "" && !r.reconnecting {
		// The stream was running until now, so the next router can resume it without a
		// wait.
		r.reconnecting = true
		r.res.Reconnects++
		wait = 0
	}
	r.triesWithoutProgress++
	return wait, true
}

// correctOutcome adjusts the outcome of a refusal to what this client knows. A
// router's not-run covers only the try that it received. An earlier try through a
// router that crashed may have run, so the outcome of the request is then unknown.
func (r *generateRun) correctOutcome(o fleet.Outcome) fleet.Outcome {
	if o == fleet.NotRun && r.mayHaveRun {
		return fleet.Unknown
	}
	return o
}

func (r *generateRun) unfinishedOutcome() fleet.Outcome {
	return r.correctOutcome(fleet.NotRun)
}

func (r *generateRun) try(parent context.Context, endpoint string) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	idle := newIdle(r.c.opts.IdleTimeout, func() { cancel(errIdle) })
	defer idle.stop()
	hreq, err := r.request(ctx, endpoint)
	if err != nil {
		return err
	}
	resp, err := r.c.opts.HTTP.Do(hreq)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	r.mayHaveRun = true
	if r.c.opts.OnConnect != nil {
		r.c.opts.OnConnect(endpoint)
	}
	if r.stream {
		return r.readStream(idle.wrap(resp.Body))
	}
	return r.readWhole(idle.wrap(resp.Body))
}

func (r *generateRun) request(ctx context.Context, endpoint string) (*http.Request, error) {
	body, err := json.Marshal(completionBody{
		Model: r.req.Model, Prompt: r.req.Prompt, MaxTokens: r.req.MaxTokens,
		Stream: r.stream, ResumeText: r.text.String(),
	})
	if err != nil {
		return nil, err
	}
	hreq, err := newRequest(ctx, http.MethodPost, endpoint+"/v1/completions", body)
	if err != nil {
		return nil, err
	}
	h := hreq.Header
	h.Set("Content-Type", "application/json")
	r.c.setHeaders(h, r.req.Key, r.req.NonIdempotent, r.req.Priority)
	setTimeout(ctx, h)
	if r.lastID != "" {
		h.Set("Last-Event-ID", r.lastID)
	}
	return hreq, nil
}

// newRequest builds the HTTP request of one try. The request's body can't be rewound and is
// never nil, even when empty. Otherwise net/http would resend a request with an idempotency
// key when a reused connection breaks, and a server would receive the request twice for one
// try of this package.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	hreq, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	hreq.ContentLength = int64(len(body))
	return hreq, nil
}

func (c *Client) setHeaders(h http.Header, key string, nonIdempotent bool, p fleet.Priority) {
	h.Set("Authorization", "Bearer "+c.apiKey)
	h.Set("Idempotency-Key", key)
	h.Set("Wigeon-Priority", p.String())
	if nonIdempotent {
		h.Set("Wigeon-Non-Idempotent", "true")
	}
}

func setTimeout(ctx context.Context, h http.Header) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	h.Set("Wigeon-Timeout-Ms", strconv.FormatInt(left, 10))
}

func (r *generateRun) readStream(body io.Reader) error {
	events := newSSEReader(body)
	for {
		ev, err := events.next()
		if err != nil {
			return err
		}
		if ev.name == "error" {
			return parseRefusal(0, ev.data)
		}
		if string(ev.data) == "[DONE]" {
			return nil
		}
		if err := r.accept(ev); err != nil {
			return err
		}
	}
}

func (r *generateRun) accept(ev *sseEvent) error {
	var chunk completionChunk
	if err := json.Unmarshal(ev.data, &chunk); err != nil {
		return errBroken
	}
	if ev.id != "" {
		r.lastID = ev.id
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		r.res.Finish = *choice.FinishReason
	}
	if choice.Text != "" {
		r.token(choice.Text)
	}
	return nil
}

func (r *generateRun) token(text string) {
	now := time.Now()
	if r.res.Events == 0 {
		r.res.TimeToFirstToken = now.Sub(r.startedAt)
	}
	if r.reconnecting {
		r.res.Gaps = append(r.res.Gaps, Gap{EventsBefore: r.res.Events, Duration: now.Sub(r.lastToken)})
		r.reconnecting = false
	}
	r.triesWithoutProgress = 0
	r.lastToken = now
	r.res.Events++
	r.text.WriteString(text)
	r.onToken(text)
}

func (r *generateRun) readWhole(body io.Reader) error {
	data, err := io.ReadAll(bounded.NewReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	var chunk completionChunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return errBroken
	}
	choice := chunk.Choices[0]
	r.res.TimeToFirstToken = time.Since(r.startedAt)
	r.text.WriteString(choice.Text)
	if choice.FinishReason != nil {
		r.res.Finish = *choice.FinishReason
	}
	return nil
}
