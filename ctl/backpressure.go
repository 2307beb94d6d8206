package ctl

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"wigeondale/backpressure"
)

// backpressureCmd lists what backend servers ask of the routers in their answers.
type backpressureCmd struct{}

// askedState is the part of a node's state dump about what backend servers ask.
type askedState struct {
	Backpressure   []backpressure.Report `json:"backpressure"`
	UnknownHeaders map[string]uint64     `json:"unknown_headers"`
}

func (t *tool) backpressure(ctx context.Context) error {
	var s askedState
	if err := t.api.call(ctx, http.MethodGet, "/debug/dump", nil, &s); err != nil {
		return err
	}
	t.printAsked(s)
	return nil
}

func (t *tool) printAsked(s askedState) {
	if t.args.JSON {
		t.printJSON(s)
		return
	}
	rows := [][]string{{"BACKEND", "SERVICE", "LIMIT", "THIS ROUTER", "FROM", "SINCE", "REST", "LEAVING SINCE"}}
	for _, r := range s.Backpressure {
		limit, share := "", ""
		if r.Limit > 0 {
			limit, share = fmt.Sprintf("%g/s", r.Limit), fmt.Sprintf("%.2f/s", r.PerSecond)
		}
		rows = append(rows, []string{r.Backend, r.Service, limit, share, r.From, elapsed(r.AgeMS), elapsed(r.RestMS), elapsed(r.LeavingMS)})
	}
	t.table(rows)
	if len(s.UnknownHeaders) == 0 {
		return
	}
	rows = [][]string{{"UNKNOWN HEADER", "ANSWERS"}}
	for _, name := range slices.Sorted(maps.Keys(s.UnknownHeaders)) {
		rows = append(rows, []string{name, fmt.Sprint(s.UnknownHeaders[name])})
	}
	t.table(rows)
}

// elapsed formats a time in milliseconds; 0 is shown as nothing.
func elapsed(ms int64) string {
	if ms == 0 {
		return ""
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
