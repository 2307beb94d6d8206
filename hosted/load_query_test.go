package hosted

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"wigeondale/cachelookup"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// idleStates reports that each engine is idle.
type idleStates struct{}

func (idleStates) State(context.Context, fleet.Backend) (fleet.EngineState, error) {
	return fleet.EngineState{}, nil
}

// cachedParts reports which engine has which part of a prompt cached, and counts the queries.
type cachedParts struct {
	mu       sync.Mutex
	engineOf map[string]string
	queries  int
}

func (h *cachedParts) CachedParts(_ context.Context, b fleet.Backend) (map[string]int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queries++
	out := map[string]int{}
	for part, id := range h.engineOf {
		if id == b.ID {
			out[part] = replayPrompt
		}
	}
	return out, nil
}

// After a restart of all routers, clients come back through other routers. If each router
// queried all engines for the prompt, engines would answer thousands of queries at once, which
// delays tokens. Where engines are queried for their loads before one is chosen, the prompt is
// at one of its preferred engines, so only these may be queried.
func TestReturningClientIsFoundAtItsHomes(t *testing.T) {
	list := engineList(160, 5)
	before, after := pickerOf(t, list, 55000), pickerOf(t, list, 55000)
	before.loadQuerier.states, after.loadQuerier.states = idleStates{}, idleStates{}
	parts := &cachedParts{engineOf: map[string]string{}}
	for i := range 50 {
		own := fmt.Sprint("part", i)
		a := generation.PickRequest{RequestID: fmt.Sprint("q", i), Service: "llm", PromptTokens: replayPrompt, MaxAnswerTokens: replayAnswer, FirstChunkTarget: replayTarget, UniquePart: own}
		b, _, err := before.Pick(t.Context(), a)
		if err != nil {
			t.Fatal(err)
		}
		parts.engineOf[own] = b.ID
	}
	for own, id := range parts.engineOf {
		after.cacheFinder = cachelookup.New(parts, cachelookup.Config{})
		parts.queries = 0
		a := generation.PickRequest{RequestID: "back", Service: "llm", PromptTokens: replayPrompt, MaxAnswerTokens: replayAnswer, FirstChunkTarget: replayTarget, UniquePart: own, PromptParts: []string{own}}
		b, share, err := after.Pick(t.Context(), a)
		if err != nil || b.ID != id {
			t.Errorf("%s is at %s, found %s, %v", own, id, b.ID, err)
		}
		if parts.queries > 2*preferredEngines {
			t.Errorf("%d engines were queried", parts.queries)
		}
		share.End()
	}
}
