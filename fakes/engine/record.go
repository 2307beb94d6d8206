package engine

import (
	"slices"

	"wigeondale/fleet"
)

// StreamRecord describes one stream: one dispatch of one request and what became of it.
type StreamRecord struct {
	Request     string         `json:"request"`
	Attempt     int            `json:"attempt"`
	Ref         fleet.ModelRef `json:"ref"`
	Incarnation string         `json:"incarnation"`
	Prefilled   int            `json:"prefilled"`  // tokens not found in the prefix cache
	ResumedAt   int            `json:"resumed_at"` // index of the first token generated
	Generated   int            `json:"generated"`
	Delivered   int            `json:"delivered"` // tokens written to a reader at least once
	Finished    bool           `json:"finished"`
	Cancelled   string         `json:"cancelled,omitempty"` // "cancelled", "linger" or "killed"
}

// Record describes all that one engine did since its first start.
type Record struct {
	Engine    string         `json:"engine"`
	Prefilled int            `json:"prefilled"`
	Generated int            `json:"generated"`
	Delivered int            `json:"delivered"`
	Streams   []StreamRecord `json:"streams"`
	Refused   int            `json:"refused"` // requests refused because the engine is leaving
	Fences    []uint64       `json:"fences"`  // fencing numbers of the orders that it followed
}

// Record returns the streams of all incarnations and their totals.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Record{Engine: e.cfg.ID, Streams: append([]StreamRecord{}, e.expired...), Refused: e.refused, Fences: slices.Clone(e.fences)}
	for _, s := range e.streams {
		r.Streams = append(r.Streams, e.recordOf(s))
	}
	for _, s := range r.Streams {
		r.Prefilled += s.Prefilled
		r.Generated += s.Generated
		r.Delivered += s.Delivered
	}
	return r
}

func (e *Engine) recordOf(s *stream) StreamRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StreamRecord{
		Request:     s.key.request,
		Attempt:     s.key.attempt,
		Ref:         s.ref,
		Incarnation: e.incarnation,
		Prefilled:   s.prefilled,
		ResumedAt:   s.firstToken,
		Generated:   len(s.ends),
		Delivered:   s.delivered,
		Finished:    s.finish != "",
		Cancelled:   s.cancelled,
	}
}
