package callerapi

import (
	"errors"
	"net/http"
	"time"

	"wigeondale/cursor"
	"wigeondale/event"
)

// openCursor opens the cursor that a caller came back with, and checks that it
// belongs to this account, key and body. nil without a cursor.
func (s *Server) openCursor(r *http.Request, id *identity, p *params) (*cursor.Cursor, *Failure) {
	text := r.Header.Get(headerLastEvent)
	if text == "" {
		if p.ResumeText != nil {
			f := badBody("resume_text: only together with a " + headerLastEvent + " header")
			f.forReconnect()
			return nil, f
		}
		return nil, nil
	}
	c, err := s.Sealer.Open(text, id.Account, time.Now())
	if err != nil {
		s.Log.Emit(event.CursorRefused, "account", id.Account, "reason", err)
		return nil, cursorFailure(err)
	}
	if id.Made {
		id.Key, id.Made = c.Request, false
	}
	if id.Key != c.Request || p.Hash != c.BodyHash {
		return nil, refuse(http.StatusBadRequest, codeCursorMismatch,
			"the cursor belongs to another request: send the same key and body as at first")
	}
	if !p.Stream {
		return nil, badBody("stream: want true with a " + headerLastEvent + " header")
	}
	if p.ResumeText != nil && c.CheckText(*p.ResumeText) != nil {
		return nil, refuse(http.StatusBadRequest, codeTextMismatch,
			"resume_text is not the text that was delivered up to the cursor")
	}
	return c, nil
}

func cursorFailure(err error) *Failure {
	switch {
	case errors.Is(err, cursor.ErrForeign):
		return refuse(http.StatusForbidden, codeCursorForeign, "the cursor belongs to another client account")
	case errors.Is(err, cursor.ErrExpired):
		return refuse(http.StatusBadRequest, codeCursorExpired, "the cursor is too old")
	}
	return refuse(http.StatusBadRequest, codeCursorInvalid, "the cursor is not one of ours")
}

// rest returns what an answer finished here has beyond the cursor. ok is false
// when the delivered text is not the beginning of this answer.
func (f *finished) rest(c *cursor.Cursor) (text []byte, ok bool) {
	if c.TextBytes > len(f.text) {
		return nil, false
	}
	if cursor.Extend(0, f.text[:c.TextBytes]) != c.Digest {
		return nil, false
	}
	return f.text[c.TextBytes:], true
}
