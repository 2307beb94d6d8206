package bounded

import (
	"strings"
)

func malformed(format string, args ...any) error {
	return Error.New("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// shown returns the begin of a text, for a message.
func shown(text string) string { return text[:min(len(text), 40)] }

func trimBlanks(s string) string { return strings.Trim(s, " \t") }

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// isText reports whether a value or a reason has no control bytes but tabs.
func isText[T string | []byte](s T) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether a field name is a token of RFC 9110.
func isToken(name []byte) bool {
	for _, c := range name {
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !isLetter && !('0' <= c && c <= '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return len(name) > 0
}
