package callerapi

import (
	"net/http"
	"time"

	"wigeondale/fleet"
	"wigeondale/generation"
)

// statusOf gives the HTTP status of a run's codes; others go by their outcome.
var statusOf = map[string]int{
	CodeNotReady:               http.StatusServiceUnavailable,
	CodeOverloaded:             http.StatusServiceUnavailable,
	CodeAccountLimit:           http.StatusTooManyRequests,
	CodeRateLimited:            http.StatusTooManyRequests,
	generation.CodeDeadline:    http.StatusGatewayTimeout,
	generation.CodeDuplicate:   http.StatusConflict,
	generation.CodeNoResume:    http.StatusConflict,
	generation.CodeKeyReused:   http.StatusUnprocessableEntity,
	generation.CodeBadRequest:  http.StatusBadRequest,
	generation.CodeQuarantined: http.StatusInternalServerError,
}

// callerMistakes are codes for which the same request never succeeds, so that
// no time to come back is told.
var callerMistakes = map[string]bool{
	generation.CodeKeyReused:   true,
	generation.CodeBadRequest:  true,
	generation.CodeQuarantined: true,
}

// failureOf returns nil for a complete run. A result that names no outcome is
// taken as unknown: the caller must not be told more than is known.
func failureOf(res generation.Result) *Failure {
	if res.Outcome == fleet.Complete {
		return nil
	}
	f := &Failure{
		Status:     http.StatusBadGateway,
		Code:       res.Code,
		Message:    "the generation ended before its answer was complete",
		Outcome:    res.Outcome,
		RetryAfter: res.RetryAfter,
	}
	if f.Code == "" {
		f.Code = codeInternal
	}
	if f.Outcome != fleet.NotRun && f.Outcome != fleet.Failed {
		f.Outcome = fleet.Unknown
	}
	if f.Outcome == fleet.NotRun {
		f.Status = http.StatusServiceUnavailable
		f.Message = "the request was refused before it was started"
		f.RetryAfter = max(f.RetryAfter, time.Second)
	}
	if status, ok := statusOf[f.Code]; ok {
		f.Status = status
	}
	if callerMistakes[f.Code] {
		f.RetryAfter = 0
	}
	return f
}

type wholeAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (s *Server) writeWhole(w http.ResponseWriter, c *call, f *finished) {
	text := string(f.text)
	one := choice{FinishReason: f.finish}
	object := "text_completion"
	if c.form == chat {
		object = "chat.completion"
		one.Message = &message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	writeJSON(w, wholeAnswer{
		ID:      c.id.Key,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   c.ref.Model,
		Choices: []choice{one},
		Usage:   usage{CompletionTokens: f.tokens},
	})
}

// replay answers from an answer that was finished here a short while ago.
func (s *Server) replay(w http.ResponseWriter, c *call, f *finished) *Failure {
	if !c.params.Stream {
		s.writeWhole(w, c, f)
		return nil
	}
	rest := f.text
	if c.from != nil {
		var ok bool
		if rest, ok = f.rest(c.from); !ok {
			failure := refuse(http.StatusConflict, codeTextMismatch, "another answer was finished under this key")
			failure.Outcome = fleet.Failed
			return failure
		}
	}
	sink := s.stream(w, c)
	sink.full = true // it is kept already
	if err := sink.Begin(generation.Position{}, nil); err != nil {
		return refuse(http.StatusInternalServerError, codeInternal, "the answer cannot be sent again")
	}
	if sink.Token(f.tokens-1, rest, f.finish) == nil {
		sink.done()
	}
	return nil
}
