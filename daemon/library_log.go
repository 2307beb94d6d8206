package daemon

import (
	"bytes"
	"strings"

	"wigeondale/event"
)

const (
	// maxLibraryLine bounds the text of one line that a library has logged, in bytes.
	maxLibraryLine = 400
	// maxLibraryLines bounds the lines of one message. The stack of a panic has more; its innermost calls come first.
	maxLibraryLines = 40
)

// libraryLog is the output of Go's standard logger, to which libraries write. Each line becomes an event.
type libraryLog struct{ log *event.Log }

// Write implements io.Writer. It never fails.
func (l libraryLog) Write(message []byte) (int, error) {
	n := 0
	for line := range bytes.Lines(message) {
		text := strings.TrimSpace(withoutContent(string(line)))
		if text == "" {
			continue
		}
		if n++; n > maxLibraryLines {
			break
		}
		l.log.Emit(event.LibraryLine, "text", strings.ToValidUTF8(text[:min(len(text), maxLibraryLine)], ""))
	}
	return len(message), nil
}

// withoutContent removes what may be the text of an answer from net/http's line about an unsolicited answer, which quotes
// all bytes that were received. Only a status line is kept.
func withoutContent(line string) string {
	const quote = ` starting with "`
	text, quoted, found := strings.Cut(line, quote)
	if !found {
		return line
	}
	status, _, complete := strings.Cut(quoted, `\r\n`)
	if !complete || !strings.HasPrefix(status, "HTTP/") {
		return text
	}
	return text + quote + status + `"`
}
