package backend

import (
	"bytes"
	"unicode/utf16"
	"unicode/utf8"
)

const maxIndexDigits = 9

// fastChunk reads a chunk that has exactly the documented form. False means
// only "not that form": slowChunk then judges it.
func (s *Stream) fastChunk(data []byte) (Token, bool) {
	rest, ok := bytes.CutPrefix(data, s.head)
	if !ok {
		return Token{}, false
	}
	index, rest, ok := cutIndex(rest)
	if !ok {
		return Token{}, false
	}
	rest, ok = bytes.CutPrefix(rest, choicesOpen)
	if !ok {
		return Token{}, false
	}
	text, rest, ok := s.cutText(rest)
	if !ok {
		return Token{}, false
	}
	finish, ok := cutFinish(rest)
	if !ok {
		return Token{}, false
	}
	return Token{Index: index, Text: text, Finish: finish}, true
}

func cutIndex(b []byte) (int, []byte, bool) {
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

func cutFinish(b []byte) (string, bool) {
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

// cutText returns the text of a JSON string whose opening quote has been read.
// Text without escapes is returned in place.
func (s *Stream) cutText(b []byte) (text, rest []byte, ok bool) {
	end := bytes.IndexByte(b, '"')
	if end < 0 {
		return nil, nil, false
	}
	if plain(b[:end]) {
		return b[:end], b[end+1:], true
	}
	return s.unescape(b)
}

// plain reports whether b means itself inside a JSON string. Control
// characters and bytes that aren't UTF-8 are left to slowChunk.
func plain(b []byte) bool {
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
			n := s.escape(b[i:])
			if n == 0 {
				return nil, nil, false
			}
			i += n
		}
	}
	return nil, nil, false
}

// escape appends what the escape sequence at the start of b stands for and
// returns its length, or 0 when it is malformed.
func (s *Stream) escape(b []byte) int {
	if len(b) < 2 {
		return 0
	}
	if b[1] == 'u' {
		return s.escapeRune(b)
	}
	c, ok := shortEscape(b[1])
	if !ok {
		return 0
	}
	s.text = append(s.text, c)
	return 2
}

func shortEscape(c byte) (byte, bool) {
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

func (s *Stream) escapeRune(b []byte) int {
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
