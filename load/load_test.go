package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wigeondale/check"
	"wigeondale/fleet"

	"github.com/google/go-cmp/cmp"
)

// TestArrivalsRepeat checks that a seed always yields the same schedule, so that two runs can
// be compared, and that the limits on duration and number of requests hold.
func TestArrivalsRepeat(t *testing.T) {
	cfg := Config{Seed: 3, Duration: time.Second, MaxRequests: 40, Classes: []Class{
		{Name: "a", Rate: 30, PromptBytes: 100, Prefixes: 2}, {Name: "b", Rate: 30}, {Name: "off"},
	}}
	one, two := arrivals(cfg), arrivals(cfg)
	if diff := cmp.Diff(one, two, cmp.AllowUnexported(arrival{})); diff != "" {
		t.Error(diff)
	}
	if len(one) == 0 || len(one) > cfg.MaxRequests {
		t.Errorf("%d arrivals", len(one))
	}
	var last time.Duration
	for _, a := range one {
		if a.at < last || a.at > cfg.Duration || a.class == 2 {
			t.Errorf("arrival %+v after %v", a, last)
		}
		last = a.at
	}
}

// A run must not report success although an answer was wrong. Here the router leaves a
// token out, or ends the answer a token early: both answers look complete to a caller that
// only counts answers. Exception: an answer that the router truncates and marks with an
// error is not a fault.
func TestRunFindsWrongAnswers(t *testing.T) {
	const tokens = 5
	cases := []struct {
		name    string
		from    func(texts []string) []string
		end     string
		outcome fleet.Outcome
		bad     int
	}{
		{"whole", func(s []string) []string { return s }, "data: [DONE]\n\n", fleet.Complete, 0},
		{"token left out", func(s []string) []string { return append(s[:2:2], s[3:]...) }, "data: [DONE]\n\n", fleet.Complete, 1},
		{"end missing", func(s []string) []string { return s[:tokens-1] }, "data: [DONE]\n\n", fleet.Complete, 1},
		{"cut with an error", func(s []string) []string { return s[:2] },
			"event: error\ndata: {\"error\":{\"code\":\"x\",\"outcome\":\"failed\",\"retry_after_ms\":1}}\n\n", fleet.Failed, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var body struct{ Prompt string }
				json.NewDecoder(r.Body).Decode(&body)
				text := check.Text(body.Prompt, tokens, func() uint16 { return 7 })
				for i, s := range tc.from(strings.SplitAfter(strings.TrimPrefix(text, " "), " ")) {
					finish := "null"
					if strings.HasPrefix(s, fmt.Sprint(tokens-1)) {
						finish = `"length"`
					}
					fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":%q,\"finish_reason\":%s}]}\n\n", i, " "+strings.TrimSuffix(s, " "), finish)
				}
				io.WriteString(w, tc.end)
			}))
			defer srv.Close()
			res, err := Run(t.Context(), Config{
				Endpoints: []string{srv.URL}, Model: "m", Seed: 1, Duration: time.Second, MaxRequests: 1,
				Classes: []Class{{Name: "draft", Rate: 1000, MaxTokens: tokens, Timeout: 10 * time.Second}},
			})
			if err != nil {
				t.Fatal(err)
			}
			c := res.Classes[0]
			if c.Outcomes[tc.outcome] != 1 || c.BadAnswers != tc.bad || res.OK != (tc.bad == 0) {
				t.Errorf("outcomes %v, bad %d, ok %v", c.Outcomes, c.BadAnswers, res.OK)
			}
		})
	}
}

func TestRecordTellsResumesAndExtraWork(t *testing.T) {
	rec := Record{Engines: []EngineRecord{
		{Engine: "e1", Streams: []AttemptRecord{
			{Request: "r", Attempt: 1, Prefilled: 20, Generated: 12, Delivered: 10, Cancelled: "killed"},
			{Request: "other", Attempt: 1, Prefilled: 9, Generated: 9, Delivered: 9, Finished: true},
		}},
		{Engine: "e2", Streams: []AttemptRecord{
			{Request: "r", Attempt: 2, ResumedAt: 8, Prefilled: 30, Generated: 3, Cancelled: "cancelled"},
			{Request: "r", Attempt: 3, ResumedAt: 10, Prefilled: 30, Generated: 15, Delivered: 15},
		}},
	}}
	if diff := cmp.Diff(map[string][]int{"r": {10}}, rec.Resumes()); diff != "" {
		t.Error(diff)
	}
	if got, want := rec.Extra("r", 25), (Extra{Generated: 5, Prefilled: 60}); got != want {
		t.Errorf("extra %+v, want %+v", got, want)
	}
	if got := rec.Serving("r"); got != "e2" {
		t.Errorf("served by %q", got)
	}
}
