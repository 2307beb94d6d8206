package hosted

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/holders"
)

// idleStates answers for engines that have nothing to do.
type idleStates struct{}

func (idleStates) State(context.Context, fleet.Backend) (fleet.EngineState, error) {
	return fleet.EngineState{}, nil
}

// heldParts says which engine holds which part, and counts the questions.
type heldParts struct {
	mu    sync.Mutex
	at    map[string]string
	asked int
}

func (h *heldParts) CachedParts(_ context.Context, b fleet.Backend) (map[string]int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	out := map[string]int{}
	for part, id := range h.at {
		if id == b.ID {
			out[part] = replayPrompt
		}
	}
	return out, nil
}

// Symptom: after all routers ended, engines answer thousands of questions in a moment and
// make tokens late. Sequence: clients come back through other routers, each of which asks
// all engines who holds the prompt. Cause: a prompt could be anywhere. Where engines are
// asked before they are chosen it is at one of its homes.
func TestReturningClientIsFoundAtItsHomes(t *testing.T) {
	list := engineList(160, 5)
	before, after := pickerOf(t, list, 55000), pickerOf(t, list, 55000)
	before.survey.states, after.survey.states = idleStates{}, idleStates{}
	held := &heldParts{at: map[string]string{}}
	for i := range 50 {
		own := fmt.Sprint("part", i)
		a := generation.PickRequest{RequestID: fmt.Sprint("q", i), Service: "llm", PromptTokens: replayPrompt, MaxAnswerTokens: replayAnswer, FirstChunkTarget: replayTarget, UniquePart: own}
		b, _, err := before.Pick(t.Context(), a)
		if err != nil {
			t.Fatal(err)
		}
		held.at[own] = b.ID
	}
	for own, id := range held.at {
		after.holders = holders.New(held, holders.Config{})
		held.asked = 0
		a := generation.PickRequest{RequestID: "back", Service: "llm", PromptTokens: replayPrompt, MaxAnswerTokens: replayAnswer, FirstChunkTarget: replayTarget, UniquePart: own, PromptParts: []string{own}}
		b, share, err := after.Pick(t.Context(), a)
		if err != nil || b.ID != id {
			t.Errorf("%s is at %s, found %s, %v", own, id, b.ID, err)
		}
		if held.asked > 2*homes {
			t.Errorf("%d engines were asked", held.asked)
		}
		share.End()
	}
}
