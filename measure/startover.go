package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"wigeondale/fleet"
	"wigeondale/load"
)

// Loss is one lost attempt of the start-over client.
type Loss struct {
	At     time.Duration // time at which the client noticed
	Engine string
}

// startOver is the client that serves as the baseline: it uses no routers, and sends
// requests to the engines in turn. When an engine is silent for the timeout or the
// connection to the engine breaks, the client discards the text and starts the request over
// at the next engine.
type startOver struct {
	r                 *Running
	engines           []string
	timeout           time.Duration // maximum silence after a token
	firstTokenTimeout time.Duration // maximum wait for the first token, including prefill
	nextEngine        atomic.Uint64
	http              *http.Client
}

func newStartOver(r *Running, engines []string, timeout, first time.Duration) *startOver {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 64
	return &startOver{r: r, engines: engines, timeout: timeout, firstTokenTimeout: first, http: &http.Client{Transport: t}}
}

const maxStartOvers = 20

// send sends a request to engines in turn until one completes it. A token counts as delivered
// when its index is first reached, so the wait after a loss includes the time to generate
// again the tokens that the caller had before.
func (s *startOver) send(ctx context.Context, start time.Time, a *Arrival) Answer {
	got := newAnswer(start, a)
	got.Outcome = fleet.Failed
	ctx, cancel := context.WithTimeout(ctx, a.Class.Timeout)
	defer cancel()
	for attempt := range maxStartOvers {
		engine := s.engines[int(s.nextEngine.Add(1))%len(s.engines)]
		text, complete := s.try(ctx, start, a, &got, engine, attempt+1)
		if complete {
			got.Text, got.Outcome = text, fleet.Complete
			break
		}
		if ctx.Err() != nil {
			got.Reason = "deadline"
			break
		}
		got.Losses = append(got.Losses, Loss{time.Since(start), engine})
	}
	got.EndedAt = time.Since(start)
	return got
}

type engineRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
	Ext       engineExt `json:"ext"`
}

type engineExt struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Version   string `json:"version"`
}

type engineChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// request returns the HTTP request of one attempt at an engine for the complete answer.
func (s *startOver) request(ctx context.Context, a *Arrival, engine string, attempt int) (*http.Request, error) {
	body, err := json.Marshal(engineRequest{
		Model: Model, Prompt: a.Prompt, MaxTokens: a.Class.MaxTokens, Stream: true, Priority: int(a.Class.Priority),
		Ext: engineExt{RequestID: load.RequestID(Account, a.Key), Attempt: attempt, Version: version},
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	url := "http://" + s.r.Ports[engine] + "/v1/completions"
	return http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
}

// try runs one attempt and returns its text, and whether the text is complete.
func (s *startOver) try(ctx context.Context, start time.Time, a *Arrival, got *Answer, engine string, attempt int) (string, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(s.firstTokenTimeout, cancel)
	defer idle.Stop()
	req, err := s.request(ctx, a, engine, attempt)
	if err != nil {
		return "", false
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", false
	}
	var text strings.Builder
	n := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return text.String(), true
		}
		var chunk engineChunk
		if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
			return "", false
		}
		idle.Reset(s.timeout)
		text.WriteString(chunk.Choices[0].Text)
		if n++; n > len(got.Tokens) {
			got.Tokens = append(got.Tokens, time.Since(start))
		}
	}
	return "", false
}
