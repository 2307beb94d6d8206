package callerapi

import (
	"net/http"
	"time"

	"wigeondale/fleet"
	"wigeondale/generation"
)

// statusOf maps failure codes to HTTP statuses. The status of any other code
// depends on the outcome.
var statusOf = map[string]int{
	CodeNotReady:                   http.StatusServiceUnavailable,
	CodeOverloaded:                 http.StatusServiceUnavailable,
	CodeAccountLimit:               http.StatusTooManyRequests,
	CodeRateLimited:                http.StatusTooManyRequests,
	generation.CodeDeadline:        http.StatusGatewayTimeout,
	generation.CodeDuplicate:       http.StatusConflict,
	generation.CodeNoResume:        http.StatusConflict,
	generation.CodeKeyReused:       http.StatusUnprocessableEntity,
	generation.CodeBadRequest:      http.StatusBadRequest,
	generation.CodeQuarantined:     http.StatusInternalServerError,
	generation.CodePartQuarantined: http.StatusInternalServerError,
}

// permanentFailures are the codes of failures that the same request would get again every
// time, so no Retry-After is sent with them.
var permanentFailures = map[string]bool{
	generation.CodeKeyReused:       true,
	generation.CodeBadRequest:      true,
	generation.CodeQuarantined:     true,
	generation.CodePartQuarantined: true,
}

// failureOf returns the failure to send to the caller of a run, or nil if the run is
// complete. A result without an outcome counts as unknown, so that the caller is never
// promised more than is certain.
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
	if permanentFailures[f.Code] {
		f.RetryAfter = 0
	}
	return f
}

type completionResponse struct {
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

func (s *Server) writeCompletion(w http.ResponseWriter, c *generationCall, f *finishedAnswer) {
	text := string(f.text)
	one := choice{FinishReason: f.finish}
	object := "text_completion"
	if c.form == chat {
		object = "chat.completion"
		one.Message = &message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	writeJSON(w, completionResponse{
		ID:      c.id.Key,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   c.ref.Model,
		Choices: []choice{one},
		Usage:   usage{CompletionTokens: f.tokens},
	})
}

// replay sends an answer that this node has recently completed and still keeps; a
// reconnecting caller gets only the text after its cursor.
func (s *Server) replay(w http.ResponseWriter, c *generationCall, f *finishedAnswer) *Failure {
	if !c.params.Stream {
		s.writeCompletion(w, c, f)
		return nil
	}
	rest := f.text
	if c.resumeFrom != nil {
		var ok bool
		if rest, ok = f.textAfter(c.resumeFrom); !ok {
			failure := refuse(http.StatusConflict, codeTextMismatch, "another answer was finished under this key")
			failure.Outcome = fleet.Failed
			return failure
		}
	}
	sink := s.newSink(w, c)
	sink.discardText = true // the answer is already kept
	if err := sink.Begin(generation.Position{}, nil); err != nil {
		return refuse(http.StatusInternalServerError, codeInternal, "the answer cannot be sent again")
	}
	if sink.Token(f.tokens-1, rest, f.finish) == nil {
		sink.writeDone()
	}
	return nil
}
