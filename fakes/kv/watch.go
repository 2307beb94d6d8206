package kv

import (
	"encoding/json"
	"net/http"
)

// serveWatch streams changes as newline-delimited JSON until the client disconnects.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.count(kindWatch)
	var req watchRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req)
	if err != nil || req.Create == nil {
		writeError(w, http.StatusBadRequest, codeInvalid, Error.New("create_request is missing"))
		return
	}
	if s.applyFaults(w, r, req.Create) {
		return
	}
	s.countWatch(req.Create.Key, 1)
	defer s.countWatch(req.Create.Key, -1)
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	send := func(res watchResult) bool {
		return out.Encode(watchResponse{res}) == nil && flusher.Flush() == nil
	}
	from := int64(req.Create.StartRevision)
	if from == 0 {
		from = s.nextRevision()
	}
	_, now, _, _ := s.store.eventsSince(req.Create, from)
	if !send(watchResult{Header: now, Created: true}) {
		return
	}
	for {
		events, now, ok, changed := s.store.eventsSince(req.Create, from)
		if !ok {
			send(watchResult{Header: now, Canceled: true, CompactRevision: Int(s.compacted() + 1)})
			return
		}
		if len(events) > 0 && !send(watchResult{Header: now, Events: events}) {
			return
		}
		from = max(from, int64(now.Revision)+1)
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) nextRevision() int64 {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.revision + 1
}

func (s *Server) compacted() int64 {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.compacted
}
