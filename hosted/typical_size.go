package hosted

import (
	"sync"

	"wigeondale/directory"
)

// typicalSize estimates the typical size of a service's requests from the requests for which
// this router chose an engine.
type typicalSize struct {
	mu    sync.Mutex
	known bool
	mean  directory.RequestSize
}

// sizeWeight is the weight of the latest request in the mean: about twenty requests make up
// most of the mean.
const sizeWeight = 0.05

// add adds a request. The variance of the sizes counts only where the size of the answer is an
// estimate: where it is a bound, so is the sum.
func (u *typicalSize) add(z requestSize) {
	u.mu.Lock()
	defer u.mu.Unlock()
	prompt, answer := float64(z.prompt), float64(z.answer)
	if !u.known {
		u.known = true
		u.mean = directory.RequestSize{Prompt: prompt, Answer: answer, Spread: z.spread}
		return
	}
	off := prompt - u.mean.Prompt
	u.mean.Prompt += sizeWeight * off
	u.mean.Answer += sizeWeight * (answer - u.mean.Answer)
	if z.lengths == nil {
		u.mean.Spread = 0
		return
	}
	u.mean.Spread += sizeWeight * (z.spread + off*off - u.mean.Spread)
}

// get returns the estimate; before the first request, it returns typicalPrompt and
// typicalAnswer.
func (u *typicalSize) get() directory.RequestSize {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.known {
		return directory.RequestSize{Prompt: typicalPrompt, Answer: typicalAnswer}
	}
	return u.mean
}
