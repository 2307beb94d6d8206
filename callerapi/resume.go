package callerapi

import (
	"errors"
	"net/http"
	"time"

	"wigeondale/cursor"
	"wigeondale/event"
)

// openCursor opens the cursor of a reconnecting caller and checks that it belongs
// to this account, key and body. It returns nil if the request has no cursor.
func (s *Server) openCursor(r *http.Request, id *identity, p *params) (*cursor.Cursor, *Failure) {
	text := r.Header.Get(headerLastEvent)
	if text == "" {
		if p.ResumeText != nil {
			f := invalidBody("resume_text: only together with a " + headerLastEvent + " header")
			f.weakenForReconnect()
			return nil, f
		}
		return nil, nil
	}
	c, err := s.Sealer.Open(text, id.Account, time.Now())
	if err != nil {
		s.Log.Emit(event.CursorRefused, "account", id.Account, "reason", err)
		return nil, cursorFailure(err)
	}
	if id.KeyGenerated {
		id.Key, id.KeyGenerated = c.Request, false
	}
	if id.Key != c.Request || p.Hash != c.BodyHash {
		return nil, refuse(http.StatusBadRequest, codeCursorMismatch,
			"the cursor belongs to another request: send the same key and body as at first")
	}
	if !p.Stream {
		return nil, invalidBody("stream: want true with a " + headerLastEvent + " header")
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

// textAfter returns the text of a finished answer that follows the cursor. ok is
// false if the text delivered up to the cursor is not the beginning of this answer.
func (f *finishedAnswer) textAfter(c *cursor.Cursor) (text []byte, ok bool) {
	if c.TextBytes > len(f.text) {
		return nil, false
	}
	if cursor.Extend(0, f.text[:c.TextBytes]) != c.Digest {
		return nil, false
	}
	return f.text[c.TextBytes:], true
}
