package backend

import (
	"net/http"

	"wigeondale/event"
	"wigeondale/fleet"
)

// LogMisplaced logs an answer of b that names another request than the one that was sent. notRun reports that it
// states that its request was not run.
func LogMisplaced(log *event.Log, b fleet.Backend, resp *http.Response, sent, named string, notRun bool) {
	log.Emit(event.AnswerMisplaced, "backend", b.ID, "request", sent, "path", resp.Request.URL.RequestURI(), "answer_to", named,
		"status", resp.StatusCode, "not_run", notRun)
}
