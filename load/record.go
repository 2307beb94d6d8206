package load

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"wigeondale/fleet"
)

// RequestID returns the id by which engines know the request that a client account sends
// with an idempotency key.
func RequestID(account, key string) string { return fleet.RequestID(account, key) }

// Record is the part of the stand-ins' record that load reads.
type Record struct {
	Engines []EngineRecord `json:"engines"`
}

// EngineRecord lists the attempts that one engine ran.
type EngineRecord struct {
	Engine  string          `json:"engine"`
	Streams []AttemptRecord `json:"streams"`
}

// AttemptRecord is the work of one engine for one attempt of a request.
type AttemptRecord struct {
	Request   string `json:"request"`
	Attempt   int    `json:"attempt"`
	Prefilled int    `json:"prefilled"`  // tokens
	ResumedAt int    `json:"resumed_at"` // index of the first token generated
	Generated int    `json:"generated"`  // tokens
	Delivered int    `json:"delivered"`  // tokens
	Finished  bool   `json:"finished"`
	Cancelled string `json:"cancelled"`
}

// FetchRecord reads the record at url.
func FetchRecord(ctx context.Context, url string) (*Record, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("record: status %d", resp.StatusCode)
	}
	var rec Record
	if err := json.NewDecoder(resp.Body).Decode(&rec); err != nil {
		return nil, Error.Wrap(err)
	}
	return &rec, nil
}

// Resumes returns for each request the token indices at which a later attempt resumed the
// answer. Attempts that delivered no token are left out.
func (r *Record) Resumes() map[string][]int {
	out := make(map[string][]int)
	for _, e := range r.Engines {
		for _, s := range e.Streams {
			if s.ResumedAt == 0 || s.Delivered == 0 {
				continue
			}
			if !slices.Contains(out[s.Request], s.ResumedAt) {
				out[s.Request] = append(out[s.Request], s.ResumedAt)
			}
		}
	}
	return out
}

// Serving returns an engine that runs an attempt of the request now, or "" if none does. An
// empty request matches all requests.
func (r *Record) Serving(request string) string {
	for _, e := range r.Engines {
		for _, s := range e.Streams {
			matches := request == "" || s.Request == request
			if matches && !s.Finished && s.Cancelled == "" {
				return e.Engine
			}
		}
	}
	return ""
}

// Extra is the work of engines beyond that of a run without failures.
type Extra struct {
	Generated int `json:"generated"` // tokens generated beyond those of the answer
	Prefilled int `json:"prefilled"` // prompt tokens prefilled again
}

// Extra returns the extra work of all engines for one request whose answer has the given
// number of tokens.
func (r *Record) Extra(request string, tokens int) Extra {
	var x Extra
	first := 0
	for _, e := range r.Engines {
		for _, s := range e.Streams {
			if s.Request != request {
				continue
			}
			x.Generated += s.Generated
			x.Prefilled += s.Prefilled
			if s.ResumedAt == 0 {
				first = max(first, s.Prefilled)
			}
		}
	}
	x.Generated -= tokens
	x.Prefilled -= first
	return x
}

func fetchResumes(ctx context.Context, url string) (map[string][]int, error) {
	if url == "" {
		return nil, nil
	}
	rec, err := FetchRecord(ctx, url)
	if err != nil {
		return nil, err
	}
	return rec.Resumes(), nil
}
