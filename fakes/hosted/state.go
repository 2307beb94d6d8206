package hosted

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// serveList lists the prompts that the replica has cached, which are the prompts of all its
// runs.
func (r *Replica) serveList(w http.ResponseWriter, _ *http.Request) {
	cached := [][]any{}
	for _, a := range r.Arrivals() {
		if !a.Ran {
			continue
		}
		for part := range strings.SplitSeq(a.Header.Get("X-Prompt-Prefix"), ",") {
			id, tokens, _ := strings.Cut(part, ":")
			n, _ := strconv.Atoi(tokens)
			cached = append(cached, []any{"", id, n, "m"})
		}
	}
	writeJSON(w, map[string]any{"epoch": 1, "next": 1, "held": cached})
}

// serveMove copies a run to another replica.
func (r *Replica) serveMove(w http.ResponseWriter, req *http.Request) {
	var move struct{ ID, Target string }
	if err := decode(req.Body, &move); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !r.copyTo(move.Target, move.ID) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]any{"kv_handle": "handle-of-" + move.ID, "created": 1})
}

func decode(r io.Reader, v any) error { return json.NewDecoder(r).Decode(v) }

// serveReport reports the replica's load and the runs in progress.
func (r *Replica) serveReport(w http.ResponseWriter, _ *http.Request) {
	runs := [][]any{}
	for _, a := range r.Arrivals() {
		if a.Ran && !a.Completed {
			held, chunks := 1, 1
			if r.TokensPerChunk > 0 {
				held, chunks = r.PromptTokens+a.Chunks*r.TokensPerChunk, a.Chunks
			}
			runs = append(runs, []any{a.ID, held, chunks, 5})
		}
	}
	writeJSON(w, r.withStartTime(map[string]any{"stage": "unified", "queued": 0, "active": len(runs), "runs": runs, "kv_total": KVCapacity}))
}

// copyTo stores a copy of a run at the replica with the given address. It returns false if no other
// replica has that address.
func (r *Replica) copyTo(addr, id string) bool {
	if r.replicaAt == nil {
		return false
	}
	other := r.replicaAt(addr)
	if other == nil || other == r {
		return false
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	other.copies[id] = true
	return true
}
