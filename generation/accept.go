package generation

type decision uint8

const (
	accepted  decision = iota
	duplicate          // this index was delivered before
	stale              // from an attempt that is no longer the current one
	gap                // at least one token before it is missing
)

// tokenFilter decides which tokens belong to the answer: only the tokens of the current
// attempt, each index once and in order.
//
// Without this filter, tokens of a lost engine that is available again after a resume would be
// mixed with the tokens of its successor, and tokens that an engine repeats or skips would
// reach the caller. The caller would read a text that no single generation wrote, and nothing
// in the text would show it.
type tokenFilter struct {
	attempt int
	next    int
}

// setAttempt makes attempt the current one. The next expected index does not change.
func (f *tokenFilter) setAttempt(attempt int) { f.attempt = attempt }

// check classifies the token at index of attempt, and advances the next expected index if the
// token is accepted.
func (f *tokenFilter) check(attempt, index int) decision {
	switch {
	case attempt != f.attempt:
		return stale
	case index < f.next:
		return duplicate
	case index > f.next:
		return gap
	}
	f.next++
	return accepted
}
