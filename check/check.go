// Package check tells from a prompt and the text of an answer whether any token
// of the answer is missing, repeated or taken from another generation.
//
// The stand-in engine writes token i as " {i}.{rand}.{chain}". Rand is fresh for
// every token of every generation and chain is a digest of the prompt, of all
// the text before the token and of rand. A token that follows any other text
// than the one it was generated after therefore shows a wrong chain.
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

// Chain generates the tokens of one answer. Its zero value is not usable.
type Chain struct {
	digest xxhash.Digest
	next   int
}

// NewChain continues the answer to prompt after text, which holds next tokens.
func NewChain(prompt, text string, next int) Chain {
	c := Chain{next: next}
	c.digest.Reset()
	c.digest.WriteString(prompt)
	c.digest.WriteString(text)
	return c
}

// NextIndex is the index of the token that Append will write.
func (c *Chain) NextIndex() int { return c.next }

// Append writes the next token to dst, with rnd as its random part.
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

// chainOf takes the digest by value: the caller's own stays before the token.
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

// Report is what Answer found.
type Report struct {
	Tokens    int  `json:"tokens"`    // well-formed tokens in the text, repeated ones included
	Missing   int  `json:"missing"`   // indices that were jumped over
	Repeated  int  `json:"repeated"`  // tokens whose index had been passed already
	Spliced   int  `json:"spliced"`   // places where the text is not of one generation
	Malformed int  `json:"malformed"` // pieces that are no token at all
	OK        bool `json:"ok"`        // at least one token, and all other counts are zero
}

// Answer checks the text of one answer. It cannot see tokens lost from the end:
// compare Tokens with the number that was asked for.
//
// Once a token is missing or foreign, the chain of what follows cannot be
// verified from the text; from there on only indices and repeats are counted.
func Answer(prompt, text string) Report {
	s := scanner{chain: NewChain(prompt, "", 0), seen: make(map[int]string)}
	rest, found := strings.CutPrefix(text, " ")
	if !found && text != "" {
		s.report.Malformed++
	}
	if rest != "" {
		for piece := range strings.SplitSeq(rest, " ") {
			s.token(piece)
		}
	}
	r := s.report
	r.OK = r.Tokens > 0 && r.Missing+r.Repeated+r.Spliced+r.Malformed == 0
	return r
}

type scanner struct {
	report Report
	chain  Chain
	next   int
	seen   map[int]string
	broken bool // the chain can no longer be verified
}

func (s *scanner) token(piece string) {
	index, rnd, sum, ok := parse(piece)
	if !ok {
		s.report.Malformed++
		s.broken = true
		return
	}
	s.report.Tokens++
	if index < s.next {
		s.repeated(index, piece)
		return
	}
	if index > s.next {
		s.report.Missing += index - s.next
		s.broken = true
	}
	s.next = index + 1
	s.seen[index] = piece
	s.verify(piece, rnd, sum)
}

func (s *scanner) repeated(index int, piece string) {
	s.report.Repeated++
	if first, ok := s.seen[index]; ok && first != piece {
		s.report.Spliced++
	}
}

func (s *scanner) verify(piece, rnd string, sum uint64) {
	if s.broken {
		return
	}
	if chainOf(s.chain.digest, []byte(rnd)) != sum {
		s.report.Spliced++
		s.broken = true
		return
	}
	s.chain.digest.WriteString(" ")
	s.chain.digest.WriteString(piece)
}

func parse(piece string) (index int, rnd string, sum uint64, ok bool) {
	parts := strings.Split(piece, ".")
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
