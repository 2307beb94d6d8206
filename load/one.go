package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"wigeondale/check"
	"wigeondale/client"
	"wigeondale/fleet"
)

// Loss is one wait between two tokens that the crash of an engine or a router caused, as the
// caller saw it.
type Loss struct {
	Kind  string  `json:"kind"` // "engine" or "router"
	Token int     `json:"token"`
	MS    float64 `json:"resume_latency_ms"`
}

// OneResult is the result of a single generation. Losses are the waits that crashes caused,
// and Extra is the extra work of engines, or nil if the stand-ins' record was not read.
type OneResult struct {
	Request    string        `json:"request"`
	Key        string        `json:"key"`
	Outcome    fleet.Outcome `json:"outcome"`
	Error      string        `json:"error,omitempty"`
	Code       string        `json:"code,omitempty"`
	RetryAfter float64       `json:"retry_after_ms"`
	Finish     string        `json:"finish"`
	Reconnects int           `json:"reconnects"`
	FirstToken float64       `json:"first_token_ms"`
	Check      check.Report  `json:"check"`
	Losses     []Loss        `json:"losses"`
	Extra      *Extra        `json:"extra,omitempty"`
	Text       string        `json:"text"`
}

// ok reports whether the answer was complete and passed its check.
func (r *OneResult) ok() bool { return r.Outcome == fleet.Complete && r.Check.OK }

func (a *args) one(ctx context.Context, stdout, stderr io.Writer) int {
	req, err := a.One.request(a.Model)
	if err != nil {
		fmt.Fprintln(stderr, "wigeonload:", err)
		return ExitUsage
	}
	progress := stdout
	if a.JSON {
		progress = stderr
	}
	res, err := a.generateOne(ctx, req, progress)
	if err != nil {
		fmt.Fprintln(stderr, "wigeonload:", err)
	}
	if a.JSON {
		printJSON(stdout, res)
	} else {
		res.print(stdout)
	}
	if err != nil || !res.ok() {
		return ExitFailed
	}
	return ExitOK
}

func (o *oneCommand) request(model string) (client.Request, error) {
	prio, err := fleet.ParsePriority(o.Priority)
	if err != nil {
		return client.Request{}, Error.Wrap(err)
	}
	prompt := o.Prompt
	if o.PromptFile != "" {
		data, err := os.ReadFile(o.PromptFile)
		if err != nil {
			return client.Request{}, Error.Wrap(err)
		}
		prompt = string(data)
	}
	return client.Request{
		Model: model, Prompt: prompt, MaxTokens: o.Tokens, Key: o.Key,
		NonIdempotent: o.NonIdem, Timeout: ms(o.TimeoutMS), Priority: prio,
	}, nil
}

// progress prints the connections and token counts that a script uses to time its failures.
type progress struct {
	w      io.Writer
	every  int
	tokens int
	last   time.Time
	gaps   []time.Duration // gaps[i] is the wait before token i+1
}

func (p *progress) connected(endpoint string) {
	fmt.Fprintf(p.w, "connected %s at token %d\n", endpoint, p.tokens)
}

func (p *progress) token(text string) {
	now := time.Now()
	for i := range strings.Count(text, " ") {
		if p.tokens > 0 && i == 0 {
			p.gaps = append(p.gaps, now.Sub(p.last))
		} else if p.tokens > 0 {
			p.gaps = append(p.gaps, 0)
		}
		p.tokens++
		if p.every > 0 && p.tokens%p.every == 0 {
			fmt.Fprintf(p.w, "tokens %d\n", p.tokens)
		}
	}
	p.last = now
}

func (a *args) generateOne(ctx context.Context, req client.Request, w io.Writer) (*OneResult, error) {
	p := &progress{w: w, every: a.One.Progress}
	c := client.New(a.Endpoint, a.APIKey, client.Options{
		MaxTries: a.Tries, IdleTimeout: ms(a.IdleMS), OnConnect: p.connected,
	})
	got, genErr := c.Generate(ctx, req, p.token)
	res := &OneResult{
		Request: RequestID(a.Account, got.Key), Key: got.Key, Outcome: got.Outcome, Finish: got.Finish,
		Reconnects: got.Reconnects, FirstToken: toMS(got.TimeToFirstToken),
		RetryAfter: toMS(got.RetryAfter), Text: got.Text,
		Check: Check(req.Prompt, req.MaxTokens, got),
	}
	res.Code, res.Error = errorCode(genErr)
	for _, g := range got.Gaps {
		res.Losses = append(res.Losses, Loss{"router", g.EventsBefore, toMS(g.Duration)})
	}
	if a.Record == "" {
		return res, nil
	}
	rec, err := FetchRecord(ctx, a.Record)
	if err != nil {
		return res, err
	}
	res.addRecord(rec, p.gaps)
	return res, nil
}

// addRecord adds the losses that only the record shows: the caller could not distinguish
// such a loss from a slow token, because another engine resumed the answer while the
// caller's connection to the router stayed the same.
func (r *OneResult) addRecord(rec *Record, gaps []time.Duration) {
	for _, at := range rec.Resumes()[r.Request] {
		known := slices.ContainsFunc(r.Losses, func(l Loss) bool { return l.Token == at })
		if !known && at <= len(gaps) {
			r.Losses = append(r.Losses, Loss{"engine", at, toMS(gaps[at-1])})
		}
	}
	slices.SortFunc(r.Losses, func(a, b Loss) int { return a.Token - b.Token })
	x := rec.Extra(r.Request, r.Check.Tokens)
	r.Extra = &x
}

func errorCode(err error) (code, message string) {
	if err == nil {
		return "", ""
	}
	var a answer
	a.setError(err)
	return a.endedBy, err.Error()
}

func toMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (r *OneResult) print(w io.Writer) {
	fmt.Fprintf(w, "request     %s\n", r.Request)
	fmt.Fprintf(w, "outcome     %s (finish %q, %d reconnects)\n", r.Outcome, r.Finish, r.Reconnects)
	if r.Error != "" {
		fmt.Fprintf(w, "error       %s\n", r.Error)
	}
	fmt.Fprintf(w, "first token %.1f ms\n", r.FirstToken)
	c := r.Check
	fmt.Fprintf(w, "check       %d tokens, %d missing, %d repeated, %d spliced: %s\n",
		c.Tokens, c.Missing, c.Repeated, c.Spliced, checkResult(c.OK))
	for _, l := range r.Losses {
		fmt.Fprintf(w, "loss        %s at token %d: resume latency %.1f ms\n", l.Kind, l.Token, l.MS)
	}
	if r.Extra != nil {
		fmt.Fprintf(w, "extra       %d tokens generated, %d prompt tokens prefilled again\n",
			r.Extra.Generated, r.Extra.Prefilled)
	}
}
