package hosted

import (
	"sync"

	"wigeondale/directory"
)

// usualSize learns the size of a service's ordinary request from those that begin.
type usualSize struct {
	mu   sync.Mutex
	mean directory.RequestSize
}

// usualWeight is the weight of the latest request: some twenty make most of it.
const usualWeight = 0.05

func (u *usualSize) add(prompt, answer int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean == (directory.RequestSize{}) {
		u.mean = directory.RequestSize{Prompt: float64(prompt), Answer: float64(answer)}
		return
	}
	u.mean.Prompt += usualWeight * (float64(prompt) - u.mean.Prompt)
	u.mean.Answer += usualWeight * (float64(answer) - u.mean.Answer)
}

// get is what was learnt, or a guess before the first request.
func (u *usualSize) get() directory.RequestSize {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean == (directory.RequestSize{}) {
		return directory.RequestSize{Prompt: typicalPrompt, Answer: typicalAnswer}
	}
	return u.mean
}
