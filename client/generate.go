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

// run is the state of one request over all its tries.
type run struct {
	c       *Client
	req     Request
	onToken func(string)
	began   time.Time

	text      strings.Builder
	res       Result
	lastID    string
	lastToken time.Time
	pending   bool // a reconnect whose first token has not come yet
	mayHave   bool // bytes of an earlier try may have reached a router
	fruitless int
	stream    bool
}

// Generate streams one answer. onToken is called with the text of each event,
// in order, exactly once; it may be nil. The Result is filled also beside an
// error; the error is a *Refusal where a router gave a final answer.
func (c *Client) Generate(ctx context.Context, req Request, onToken func(text string)) (Result, error) {
	return c.start(ctx, req, onToken, true)
}

// GenerateNonStreaming asks for the answer in one piece.
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
	r := &run{c: c, req: req, onToken: onToken, began: time.Now(), stream: stream}
	r.res.Key = req.Key
	err := r.loop(ctx)
	r.res.Text = r.text.String()
	return r.res, Error.Wrap(err)
}

func (r *run) loop(ctx context.Context) error {
	at := r.c.firstEndpoint()
	for range r.c.opts.MaxTries {
		r.res.Endpoint = r.c.endpoints[at%len(r.c.endpoints)]
		err := r.try(ctx, r.res.Endpoint)
		if err == nil {
			r.res.Outcome = fleet.Complete
			return nil
		}
		wait, again := r.after(err)
		if !again {
			return err
		}
		if !clock.Sleep(ctx, wait) {
			r.res.Outcome = r.unfinished()
			return ctx.Err()
		}
		at++
	}
	r.res.Outcome = r.unfinished()
	return ErrTriesExhausted
}

// after decides what follows a failed try: a wait and another one, or the end.
func (r *run) after(err error) (time.Duration, bool) {
	var ref *Refusal
	if errors.As(err, &ref) {
		if !ref.again() {
			r.res.Outcome = r.worse(ref.Outcome)
			r.res.RetryAfter = ref.RetryAfter
			return 0, false
		}
		r.mayHave = r.mayHave || ref.Outcome != fleet.NotRun
		r.fruitless++
		return max(ref.RetryAfter, r.c.backoff(0)), true
	}
	if !neverLeft(err) {
		r.mayHave = true
	}
	wait := r.c.backoff(r.fruitless)
	if r.lastID != "" && !r.pending {
		// The stream was alive until now: the next router can go on at once.
		r.pending = true
		r.res.Reconnects++
		wait = 0
	}
	r.fruitless++
	return wait, true
}

// worse corrects a refusal by what this client knows. A router's not-run
// speaks of the try that it saw; an earlier try through a router that died
// may have run, so the whole request is then unknown.
func (r *run) worse(o fleet.Outcome) fleet.Outcome {
	if o == fleet.NotRun && r.mayHave {
		return fleet.Unknown
	}
	return o
}

func (r *run) unfinished() fleet.Outcome {
	return r.worse(fleet.NotRun)
}

func (r *run) try(parent context.Context, endpoint string) error {
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
	r.mayHave = true
	if r.c.opts.OnConnect != nil {
		r.c.opts.OnConnect(endpoint)
	}
	if r.stream {
		return r.readStream(idle.wrap(resp.Body))
	}
	return r.readWhole(idle.wrap(resp.Body))
}

func (r *run) request(ctx context.Context, endpoint string) (*http.Request, error) {
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

// newRequest builds one try. Its body can't be rewound and is never absent,
// even when empty: net/http would otherwise send a request that carries an
// idempotency key a second time by itself when a reused connection breaks. A
// server would see the request twice, under one try of this package.
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

func (r *run) readStream(body io.Reader) error {
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

func (r *run) accept(ev *sseEvent) error {
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

func (r *run) token(text string) {
	now := time.Now()
	if r.res.Events == 0 {
		r.res.TimeToFirstToken = now.Sub(r.began)
	}
	if r.pending {
		r.res.Gaps = append(r.res.Gaps, Gap{EventsBefore: r.res.Events, Duration: now.Sub(r.lastToken)})
		r.pending = false
	}
	r.fruitless = 0
	r.lastToken = now
	r.res.Events++
	r.text.WriteString(text)
	r.onToken(text)
}

func (r *run) readWhole(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var chunk completionChunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return errBroken
	}
	choice := chunk.Choices[0]
	r.res.TimeToFirstToken = time.Since(r.began)
	r.text.WriteString(choice.Text)
	if choice.FinishReason != nil {
		r.res.Finish = *choice.FinishReason
	}
	return nil
}
