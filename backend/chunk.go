package backend

import (
	"bytes"
	"unicode/utf16"
	"unicode/utf8"
)

const maxIndexDigits = 9

// parseChunkFast parses a chunk that has exactly the documented byte layout. It
// returns false for any other chunk, which parseChunkSlow then parses or
// rejects.
func (s *Stream) parseChunkFast(data []byte) (Token, bool) {
	rest, ok := bytes.CutPrefix(data, s.head)
	if !ok {
		return Token{}, false
	}
	index, rest, ok := parseIndex(rest)
	if !ok {
		return Token{}, false
	}
	rest, ok = bytes.CutPrefix(rest, choicesOpen)
	if !ok {
		return Token{}, false
	}
	text, rest, ok := s.parseText(rest)
	if !ok {
		return Token{}, false
	}
	finish, ok := parseFinish(rest)
	if !ok {
		return Token{}, false
	}
	return Token{Index: index, Text: text, Finish: finish}, true
}

func parseIndex(b []byte) (int, []byte, bool) {
	n, i := 0, 0
	for i < len(b) && b[i] >= '0' && b[i] <= '9' {
		n = n*10 + int(b[i]-'0')
		i++
	}
	if i == 0 || i > maxIndexDigits || (i > 1 && b[0] == '0') {
		return 0, nil, false
	}
	return n, b[i:], true
}

func parseFinish(b []byte) (string, bool) {
	b, ok := bytes.CutPrefix(b, finishOpen)
	if !ok {
		return "", false
	}
	b, ok = bytes.CutSuffix(b, chunkClose)
	if !ok {
		return "", false
	}
	switch {
	case bytes.Equal(b, nullLiteral):
		return "", true
	case bytes.Equal(b, stopQuoted):
		return "stop", true
	case bytes.Equal(b, lengthQuoted):
		return "length", true
	}
	return "", false
}

// parseText returns the text of a JSON string whose opening quote has been read,
// and the bytes after its closing quote. Text without escapes is not copied.
func (s *Stream) parseText(b []byte) (text, rest []byte, ok bool) {
	end := bytes.IndexByte(b, '"')
	if end < 0 {
		return nil, nil, false
	}
	if isLiteral(b[:end]) {
		return b[:end], b[end+1:], true
	}
	return s.unescape(b)
}

// isLiteral reports whether b is the content of a JSON string without escapes. It returns
// false for control characters and invalid UTF-8, so that parseChunkSlow handles them.
func isLiteral(b []byte) bool {
	ascii := true
	for _, c := range b {
		if c == '\\' || c < ' ' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(b)
}

func (s *Stream) unescape(b []byte) (text, rest []byte, ok bool) {
	s.text = s.text[:0]
	for i := 0; i < len(b); {
		switch c := b[i]; {
		case c == '"':
			return s.text, b[i+1:], utf8.Valid(s.text)
		case c < ' ':
			return nil, nil, false
		case c != '\\':
			s.text = append(s.text, c)
			i++
		default:
			n := s.unescapeSequence(b[i:])
			if n == 0 {
				return nil, nil, false
			}
			i += n
		}
	}
	return nil, nil, false
}

// unescapeSequence decodes the escape sequence at the start of b, appends the
// result to s.text and returns the length of the sequence, or 0 if it is
// malformed.
func (s *Stream) unescapeSequence(b []byte) int {
	if len(b) < 2 {
		return 0
	}
	if b[1] == 'u' {
		return s.unescapeRune(b)
	}
	c, ok := unescapeShort(b[1])
	if !ok {
		return 0
	}
	s.text = append(s.text, c)
	return 2
}

func unescapeShort(c byte) (byte, bool) {
	switch c {
	case '"', '\\', '/':
		return c, true
	case 'n':
		return '\n', true
	case 't':
		return '\t', true
	case 'r':
		return '\r', true
	case 'b':
		return '\b', true
	case 'f':
		return '\f', true
	}
	return 0, false
}

const runeEscapeBytes = len(`\u0000`)

func (s *Stream) unescapeRune(b []byte) int {
	r, ok := hexRune(b)
	if !ok {
		return 0
	}
	if !utf16.IsSurrogate(r) {
		s.text = utf8.AppendRune(s.text, r)
		return runeEscapeBytes
	}
	low, ok := hexRune(b[runeEscapeBytes:])
	pair := utf16.DecodeRune(r, low)
	if !ok || pair == utf8.RuneError {
		s.text = utf8.AppendRune(s.text, utf8.RuneError)
		return runeEscapeBytes
	}
	s.text = utf8.AppendRune(s.text, pair)
	return 2 * runeEscapeBytes
}

func hexRune(b []byte) (rune, bool) {
	if len(b) < runeEscapeBytes || b[0] != '\\' || b[1] != 'u' {
		return 0, false
	}
	var r rune
	for _, c := range b[2:runeEscapeBytes] {
		d, ok := hexDigit(c)
		if !ok {
			return 0, false
		}
		r = r<<4 | d
	}
	return r, true
}

func hexDigit(c byte) (rune, bool) {
	switch {
	case c >= '0' && c <= '9':
		return rune(c - '0'), true
	case c >= 'a' && c <= 'f':
		return rune(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return rune(c-'A') + 10, true
	}
	return 0, false
}
