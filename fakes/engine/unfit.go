package engine

import (
	"fmt"
	"io"
	"net/http"

	"wigeondale/fakes/fault"
)

// unfitAnswer is an answer to a request that continues a stream.
type unfitAnswer struct {
	status            int
	contentType, body string
}

// UnfitAnswers are answers that are not the rest of a stream, by what they are.
var UnfitAnswers = unfitAnswers()

func unfitAnswers() map[string]unfitAnswer {
	const text, events = "ERRORTEXT", "text/event-stream"
	out := map[string]unfitAnswer{
		"JSON":                      {200, "application/json", `{"error":{"code":"failed"}}`},
		"plain text":                {200, "text/plain", text},
		"no type, empty":            {200, "", ""},
		"stream, empty":             {200, events, ""},
		"stream, a comment":         {200, events, ": " + text + "\n\n"},
		"stream, only its end":      {200, events, "data: [DONE]\n\n"},
		"stream, text":              {200, events, text},
		"stream, an event":          {200, events, "data: " + text + "\n\ndata: [DONE]\n\n"},
		"stream, another request's": {200, events, string(appendChunk(nil, []byte(`data: {"id":"another","attempt":1,"index":`), 0, []byte(text), "stop")) + "data: [DONE]\n\n"},
	}
	for _, status := range []int{201, 204, 206, 301, 304, 400, 401, 403, 404, 408, 409, 410, 421, 429, 500, 502, 503, 504} {
		name := fmt.Sprint("status ", status)
		out[name+", empty"] = unfitAnswer{status, "", ""}
		if status == http.StatusNoContent || status == http.StatusNotModified {
			continue // they have no body
		}
		out[name] = unfitAnswer{status, "text/plain", text}
		out[name+", a refusal"] = unfitAnswer{status, "application/json", `{"error":{"code":"failed","message":"` + text + `"}}`}
		out[name+", an event"] = unfitAnswer{status, events, "data: [DONE]\n\n"}
	}
	return out
}

// setUnfit applies the switch unfit.
func (e *Engine) setUnfit(args fault.Args) {
	answer, known := UnfitAnswers[args.Kind]
	if !known || !args.Enabled() {
		e.unfit.Store(nil)
		return
	}
	e.unfit.Store(&answer)
}

// serveUnfit answers a request that continues a stream with the answer that the switch unfit sets, and reports whether one is set.
func (e *Engine) serveUnfit(w http.ResponseWriter) bool {
	answer := e.unfit.Load()
	if answer == nil {
		return false
	}
	if answer.contentType != "" {
		w.Header().Set("Content-Type", answer.contentType)
	}
	w.WriteHeader(answer.status)
	// A router that has left gets nothing.
	_, _ = io.WriteString(w, answer.body)
	return true
}
