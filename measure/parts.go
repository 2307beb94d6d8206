package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/client"
	"wigeondale/fleet"
	"wigeondale/load"
)

// timedLoad is a load of one client account that starts at the offset at.
type timedLoad struct {
	at   time.Duration
	load Load
	send Sender
}

// driveLoads sends all loads. The times of the answers are offsets from start.
func driveLoads(ctx context.Context, start time.Time, loads []timedLoad) ([]Answer, error) {
	all := make([][]Answer, len(loads))
	g, ctx := errgroup.WithContext(ctx)
	for i, p := range loads {
		g.Go(func() error {
			got, err := Drive(ctx, start.Add(p.at), p.load, p.send)
			for k := range got {
				got[k].shift(p.at)
			}
			all[i] = got
			return err
		})
	}
	err := g.Wait()
	return slices.Concat(all...), err
}

func (a *Answer) shift(by time.Duration) {
	a.StartedAt += by
	a.EndedAt += by
	for i := range a.Tokens {
		a.Tokens[i] += by
	}
}

// clientSender returns a Sender that uses the client library with the API key of one client
// account.
func clientSender(r *Running, account, key string) Sender {
	c := client.New(r.Endpoints, key, client.Options{RoundRobin: true})
	return func(ctx context.Context, start time.Time, a *Arrival) Answer {
		got := newAnswer(start, a)
		got.Request = load.RequestID(account, a.Key)
		res, err := c.Generate(ctx, client.Request{
			Model: Model, Prompt: a.Prompt, MaxTokens: a.Class.MaxTokens, Key: a.Key,
			Timeout: a.Class.Timeout, Priority: a.Class.Priority,
		}, func(text string) {
			now := time.Since(start)
			for range strings.Count(text, " ") {
				got.Tokens = append(got.Tokens, now)
			}
		})
		got.EndedAt = time.Since(start)
		got.Text, got.Outcome, got.RetryAfter = res.Text, res.Outcome, res.RetryAfter
		if err != nil {
			got.Reason = err.Error()
		}
		return got
	}
}

// singleTrySender returns a Sender that sends each request a single time, with net/http and
// not streamed, so that a refusal is recorded as the router sent it, without the retries of
// the client library.
func singleTrySender(r *Running, account, key string) Sender {
	var next atomic.Uint64
	return func(ctx context.Context, start time.Time, a *Arrival) Answer {
		got := newAnswer(start, a)
		got.Request = load.RequestID(account, a.Key)
		endpoint := r.Endpoints[next.Add(1)%uint64(len(r.Endpoints))]
		resp, err := post(ctx, endpoint, key, a)
		got.EndedAt = time.Since(start)
		got.Outcome = fleet.Unknown
		if err != nil {
			got.Reason = err.Error()
			return got
		}
		defer resp.Body.Close()
		got.read(resp)
		got.EndedAt = time.Since(start)
		return got
	}
}

func post(ctx context.Context, endpoint, key string, a *Arrival) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{"model": Model, "prompt": a.Prompt, "max_tokens": a.Class.MaxTokens})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", a.Key)
	req.Header.Set("Wigeon-Timeout-Ms", fmt.Sprint(a.Class.Timeout.Milliseconds()))
	req.Header.Set("Wigeon-Priority", a.Class.Priority.String())
	return http.DefaultClient.Do(req)
}

// responseBody is the body of an answer that is not streamed, or of an error.
type responseBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error struct {
		Code    string        `json:"code"`
		Outcome fleet.Outcome `json:"outcome"`
	} `json:"error"`
}

func (a *Answer) read(resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Reason = err.Error()
		return
	}
	var body responseBody
	if err := json.Unmarshal(data, &body); err != nil {
		a.Reason = err.Error()
		return
	}
	if resp.StatusCode != http.StatusOK {
		a.Outcome, a.Reason = body.Error.Outcome, body.Error.Code
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
		return
	}
	for _, c := range body.Choices {
		a.Text += c.Text
	}
	a.Outcome = fleet.Complete
	for range strings.Count(a.Text, " ") {
		a.Tokens = append(a.Tokens, a.EndedAt)
	}
}

// row is one row of a table for one run: the cells that identify it and its figures.
type row struct {
	key  []string
	vals []float64
}

// saveMedians writes a table of the medians over the runs, whose rows have the same keys. A
// negative figure means that the run has no value.
func saveMedians(env *Env, name string, columns []string, runs [][]row) error {
	t := &Table{Name: name, Columns: columns}
	for i, first := range runs[0] {
		cells := slices.Clone(first.key)
		for k := range first.vals {
			cells = append(cells, formatFigure(medianOf(runs, i, k)))
		}
		t.Add(cells...)
	}
	return env.Save(t)
}

func medianOf(runs [][]row, i, k int) float64 {
	var all []float64
	for _, rows := range runs {
		if v := rows[i].vals[k]; v >= 0 {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		return -1
	}
	slices.Sort(all)
	return (all[(len(all)-1)/2] + all[len(all)/2]) / 2
}

func formatFigure(v float64) string {
	switch {
	case v < 0:
		return "-"
	case v < 10:
		return strconv.FormatFloat(v, 'f', 2, 64)
	}
	return strconv.FormatFloat(v, 'f', 0, 64)
}

// percent returns 100 a/b, or -1 if b is 0.
func percent(a, b int) float64 {
	if b == 0 {
		return -1
	}
	return 100 * float64(a) / float64(b)
}

// durations is a sample of durations. Its method at returns a quantile in milliseconds, or
// -1 if the sample is empty.
type durations []time.Duration

func (d durations) at(q float64) float64 {
	if len(d) == 0 {
		return -1
	}
	s := slices.Clone(d)
	slices.Sort(s)
	return float64(s[min(int(q*float64(len(s))), len(s)-1)].Microseconds()) / 1000
}

// answerStats summarises a set of answers.
type answerStats struct {
	sent, complete int
	first, total   durations // time to the first token; time to the end of complete answers
}

func (s *answerStats) add(a *Answer) {
	s.sent++
	if a.Outcome == fleet.Complete {
		s.complete++
		s.total = append(s.total, a.EndedAt-a.StartedAt)
	}
	if len(a.Tokens) > 0 {
		s.first = append(s.first, a.Tokens[0]-a.StartedAt)
	}
}

// runOnFleets calls run for all fleets at the same time and concatenates the rows of each table
// in the order of the fleets.
func runOnFleets(ctx context.Context, env *Env, run func(context.Context, *Running, time.Time) ([][]row, error)) ([][]row, error) {
	start := time.Now().Add(100 * time.Millisecond)
	parts := make([][][]row, len(env.Fleets))
	g, ctx := errgroup.WithContext(ctx)
	for i, r := range env.Fleets {
		g.Go(func() error {
			got, err := run(ctx, r, start)
			if err != nil {
				return fmt.Errorf("fleet %s: %w", r.Name, err)
			}
			parts[i] = got
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	tables := make([][]row, len(parts[0]))
	for _, p := range parts {
		for t := range p {
			tables[t] = append(tables[t], p[t]...)
		}
	}
	return tables, nil
}

// runSeeds calls run with the seeds 1 to n. In the result, [table][seed-1] holds the rows of a
// table.
func runSeeds(n int, run func(seed uint64) ([][]row, error)) ([][][]row, error) {
	var out [][][]row
	for s := range n {
		tables, err := run(uint64(s + 1))
		if err != nil {
			return nil, err
		}
		if out == nil {
			out = make([][][]row, len(tables))
		}
		for t, rows := range tables {
			out[t] = append(out[t], rows)
		}
	}
	return out, nil
}
