package hosted

import (
	"sync"

	"wigeondale/directory"
)

// typicalSize estimates the typical size of a service's requests from the requests for which
// this router chose an engine.
type typicalSize struct {
	mu   sync.Mutex
	mean directory.RequestSize
}

// sizeWeight is the weight of the latest request in the mean: about twenty requests make up
// most of the mean.
const sizeWeight = 0.05

func (u *typicalSize) add(prompt, answer int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean == (directory.RequestSize{}) {
		u.mean = directory.RequestSize{Prompt: float64(prompt), Answer: float64(answer)}
		return
	}
	u.mean.Prompt += sizeWeight * (float64(prompt) - u.mean.Prompt)
	u.mean.Answer += sizeWeight * (float64(answer) - u.mean.Answer)
}

// get returns the estimate; before the first request, it returns typicalPrompt and
// typicalAnswer.
func (u *typicalSize) get() directory.RequestSize {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean == (directory.RequestSize{}) {
		return directory.RequestSize{Prompt: typicalPrompt, Answer: typicalAnswer}
	}
	return u.mean
}
