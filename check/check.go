// Package check verifies from a prompt and the text of an answer that no token of the
// answer is missing, repeated or taken from another generation.
//
// The stand-in engine writes token i as " {i}.{rand}.{chain}". Rand is new for every
// token of every generation, and chain is a digest of the prompt, of all text before
// the token and of rand. A token that follows any text other than the one it was
// generated after therefore has a wrong chain.
package check

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	randDigits  = 4
	chainDigits = 8
	hexDigits   = "0123456789abcdef"
)

// Chain generates the tokens of one answer. The zero value is not usable; NewChain returns
// a Chain.
type Chain struct {
	digest xxhash.Digest
	next   int
}

// NewChain returns a Chain that continues the answer to prompt after text, which consists
// of the first next tokens of the answer.
func NewChain(prompt, text string, next int) Chain {
	c := Chain{next: next}
	c.digest.Reset()
	c.digest.WriteString(prompt)
	c.digest.WriteString(text)
	return c
}

// NextIndex returns the index of the token that Append will write.
func (c *Chain) NextIndex() int { return c.next }

// Append appends the next token to dst, with rnd as its random part.
func (c *Chain) Append(dst []byte, rnd uint16) []byte {
	start := len(dst)
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, int64(c.next), 10)
	dst = append(dst, '.')
	dst = appendHex(dst, uint64(rnd), randDigits)
	sum := chainOf(c.digest, dst[len(dst)-randDigits:])
	dst = append(dst, '.')
	dst = appendHex(dst, sum, chainDigits)
	c.digest.Write(dst[start:])
	c.next++
	return dst
}

// Text returns the first n tokens of a new answer to prompt.
func Text(prompt string, n int, rnd func() uint16) string {
	c := NewChain(prompt, "", 0)
	var text []byte
	for range n {
		text = c.Append(text, rnd())
	}
	return string(text)
}

// chainOf returns the chain of the token with the random part rnd, where d is the digest of
// the prompt and all text before the token. It gets the digest by value, so that the
// caller's digest does not include the token.
func chainOf(d xxhash.Digest, rnd []byte) uint64 {
	d.Write(rnd)
	return d.Sum64() >> 32
}

func appendHex(dst []byte, v uint64, digits int) []byte {
	for shift := 4 * (digits - 1); shift >= 0; shift -= 4 {
		dst = append(dst, hexDigits[v>>shift&0xf])
	}
	return dst
}

// Report is the result of Answer.
type Report struct {
	Tokens    int  `json:"tokens"`    // well-formed tokens in the text, repeated ones included
	Missing   int  `json:"missing"`   // skipped indices
	Repeated  int  `json:"repeated"`  // tokens whose index is not higher than that of an earlier one
	Spliced   int  `json:"spliced"`   // positions where the text continues with another generation
	Malformed int  `json:"malformed"` // words that are not tokens
	OK        bool `json:"ok"`        // at least one token, and all other counts are zero
}

// Answer checks the text of one answer. It can't detect tokens missing at the end:
// compare Tokens with the number requested.
//
// After a missing or foreign token the chain of the following tokens can't be verified
// from the text; from there on only indices and repetitions are checked.
func Answer(prompt, text string) Report {
	s := answerScanner{chain: NewChain(prompt, "", 0), seen: make(map[int]string)}
	rest, found := strings.CutPrefix(text, " ")
	if !found && text != "" {
		s.report.Malformed++
	}
	if rest != "" {
		for word := range strings.SplitSeq(rest, " ") {
			s.token(word)
		}
	}
	r := s.report
	r.OK = r.Tokens > 0 && r.Missing+r.Repeated+r.Spliced+r.Malformed == 0
	return r
}

type answerScanner struct {
	report       Report
	chain        Chain
	next         int
	seen         map[int]string
	unverifiable bool // the chain can no longer be verified
}

func (s *answerScanner) token(word string) {
	index, rnd, sum, ok := parse(word)
	if !ok {
		s.report.Malformed++
		s.unverifiable = true
		return
	}
	s.report.Tokens++
	if index < s.next {
		s.addRepeated(index, word)
		return
	}
	if index > s.next {
		s.report.Missing += index - s.next
		s.unverifiable = true
	}
	s.next = index + 1
	s.seen[index] = word
	s.verify(word, rnd, sum)
}

func (s *answerScanner) addRepeated(index int, word string) {
	s.report.Repeated++
	if first, ok := s.seen[index]; ok && first != word {
		s.report.Spliced++
	}
}

func (s *answerScanner) verify(word, rnd string, sum uint64) {
	if s.unverifiable {
		return
	}
	if chainOf(s.chain.digest, []byte(rnd)) != sum {
		s.report.Spliced++
		s.unverifiable = true
		return
	}
	s.chain.digest.WriteString(" ")
	s.chain.digest.WriteString(word)
}

func parse(word string) (index int, rnd string, sum uint64, ok bool) {
	parts := strings.Split(word, ".")
	if len(parts) != 3 || len(parts[1]) != randDigits || len(parts[2]) != chainDigits {
		return 0, "", 0, false
	}
	index, err := strconv.Atoi(parts[0])
	if err != nil || index < 0 {
		return 0, "", 0, false
	}
	sum, err = strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return 0, "", 0, false
	}
	return index, parts[1], sum, true
}
