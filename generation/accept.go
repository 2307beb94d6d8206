package generation

type verdict uint8

const (
	accept   verdict = iota
	repeated         // index was delivered before
	late             // of an attempt that is no longer current
	gap              // at least one token is missing in between
)

// acceptor decides which tokens belong to the answer: only those of the
// current attempt, each index once and in order.
//
// What goes wrong without it: after a resume the lost engine comes back and
// its tokens arrive beside those of the new one, or an engine repeats or skips
// a token. The caller would read a text that no single generation wrote, and
// nothing in the text would show it.
type acceptor struct {
	attempt int
	next    int
}

// begin makes attempt the current one; the next index stays.
func (a *acceptor) begin(attempt int) { a.attempt = attempt }

// offer judges the token at index of attempt and counts it when accepted.
func (a *acceptor) offer(attempt, index int) verdict {
	switch {
	case attempt != a.attempt:
		return late
	case index < a.next:
		return repeated
	case index > a.next:
		return gap
	}
	a.next++
	return accept
}
