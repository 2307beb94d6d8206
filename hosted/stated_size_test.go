package hosted

import (
	"math"
	"testing"
	"time"

	"wigeondale/admission"
	"wigeondale/generation"
)

// Guards against a client that states a size beyond all engines: the sum overflows, or the mean of the sizes, for which others
// leave room, is ruined for hundreds of requests, and those behind it are held.
func TestStatedSizesAreBounded(t *testing.T) {
	for _, tokens := range []int{50001, 1e9, math.MaxInt} {
		p := orderedPicker(t, 50000, 0, 2)
		a := withPriority("huge", 0)
		a.PromptTokens, a.MaxAnswerTokens = tokens, tokens
		if it := p.itemOf(a, time.Now()); it.Cost <= 0 || it.Cost > 2*50000 {
			t.Errorf("%d tokens cost %v", tokens, it.Cost)
		}
		if _, _, err := p.Pick(t.Context(), a); err == nil {
			t.Errorf("%d tokens were sent to an engine", tokens)
		}
		if r := p.queues.of("llm").urgent.reserveOf(withPriority("less", 2), time.Now()); r != (reserve{}) {
			t.Errorf("after one of %d tokens others leave %+v", tokens, r)
		}
		if _, _, err := p.Pick(t.Context(), withPriority("less", 2)); err != nil {
			t.Errorf("behind one of %d tokens: %v", tokens, err)
		}
	}
	p := orderedPicker(t, 50000, 0, 2)
	s := p.charged(nil, &admission.Charge{}, generation.PickRequest{Service: "llm", PromptTokens: 1e9}).(*chargedShare)
	if s.prompt > 50000 {
		t.Errorf("a prompt counts %d tokens", s.prompt)
	}
}
