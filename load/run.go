package load

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"wigeondale/check"
	"wigeondale/client"
	"wigeondale/fleet"
)

// answer is the result of one request of a run.
type answer struct {
	class      int
	id         string // request id as engines see it; empty for a call to a service
	outcome    fleet.Outcome
	endedBy    string // code of the refusal or name of the error; empty if complete
	firstToken time.Duration
	duration   time.Duration
	gaps       []time.Duration // gaps[i] is the wait before token i+1
	reconnects int
	report     check.Report
	checked    bool
	retryAfter bool
}

// Run sends the requests of the schedule that cfg and its seed determine, and waits until
// all have ended. If ctx ends first, it sends no more requests and returns the results so
// far.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := client.New(cfg.Endpoints, cfg.APIKey, client.Options{
		RoundRobin: true, MaxTries: cfg.MaxTries, IdleTimeout: cfg.IdleTimeout,
	})
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []answer
	)
	start := time.Now()
	for _, a := range arrivals(cfg) {
		if !SleepUntil(ctx, start.Add(a.at)) {
			break
		}
		wg.Go(func() {
			got := send(ctx, c, cfg, a)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got)
		})
	}
	wg.Wait()
	res := newResult(cfg, time.Since(start))
	resumes, err := fetchResumes(ctx, cfg.RecordURL)
	for i := range answers {
		res.add(&answers[i], resumes[answers[i].id])
	}
	res.finish()
	return res, err
}

func send(ctx context.Context, c *client.Client, cfg Config, a arrival) answer {
	cl := cfg.Classes[a.class]
	if cl.Service != "" {
		return call(ctx, c, cl, a)
	}
	return generate(ctx, c, cfg, a)
}

func call(ctx context.Context, c *client.Client, cl Class, a arrival) answer {
	res, err := c.Call(ctx, client.CallRequest{
		Service: cl.Service, Path: cl.Path, Key: a.key,
		Timeout: cl.Timeout, Priority: cl.Priority, NonIdempotent: cl.NonIdempotent,
	})
	got := answer{class: a.class, outcome: res.Outcome, duration: res.Duration, firstToken: res.Duration}
	got.setError(err)
	return got
}

func generate(ctx context.Context, c *client.Client, cfg Config, a arrival) answer {
	cl := cfg.Classes[a.class]
	got := answer{class: a.class}
	start := time.Now()
	var last time.Time
	res, err := c.Generate(ctx, client.Request{
		Model: cfg.Model, Prompt: a.prompt, MaxTokens: cl.MaxTokens, Key: a.key,
		NonIdempotent: cl.NonIdempotent, Timeout: cl.Timeout, Priority: cl.Priority,
	}, func(text string) {
		now := time.Now()
		if !last.IsZero() {
			got.addGap(now.Sub(last), strings.Count(text, " "))
		}
		last = now
	})
	got.duration = time.Since(start)
	got.id = RequestID(cfg.Account, a.key)
	got.outcome = res.Outcome
	got.firstToken = res.TimeToFirstToken
	got.reconnects = res.Reconnects
	got.setError(err)
	got.report = Check(a.prompt, cl.MaxTokens, res)
	got.checked = true
	return got
}

// addGap records the wait before an event with n tokens: the first token gets the wait d,
// and each other token gets a wait of 0, since it arrived together with the first.
func (a *answer) addGap(d time.Duration, n int) {
	a.gaps = append(a.gaps, d)
	for range n - 1 {
		a.gaps = append(a.gaps, 0)
	}
}

func (a *answer) setError(err error) {
	if err == nil {
		return
	}
	var ref *client.Refusal
	switch {
	case errors.As(err, &ref):
		a.endedBy = ref.Code
		a.retryAfter = ref.RetryAfter > 0
	case errors.Is(err, context.DeadlineExceeded):
		a.endedBy = "deadline"
	case errors.Is(err, client.ErrTriesExhausted):
		a.endedBy = "tries-exhausted"
	default:
		a.endedBy = "other"
	}
}

// Check checks the text of one answer. The text of an answer that ended with an error is
// checked too: it may be truncated, but its tokens must be right. A complete answer must
// also have a finish reason. If that reason is length, the answer must have all its tokens.
func Check(prompt string, maxTokens int, res client.Result) check.Report {
	rep := check.Answer(prompt, res.Text)
	if res.Outcome != fleet.Complete {
		rep.OK = rep.OK || res.Text == ""
		return rep
	}
	if res.Finish == "" {
		rep.Missing++
		rep.OK = false
	}
	if res.Finish == "length" && rep.Tokens < maxTokens {
		rep.Missing += maxTokens - rep.Tokens
		rep.OK = false
	}
	return rep
}

// SleepUntil waits until t and returns false if ctx ended first.
func SleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
