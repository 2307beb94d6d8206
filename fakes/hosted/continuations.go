package hosted

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// ErrorText is in the body of each of UnfitAnswers that has one.
const ErrorText = "ERRORTEXT"

// unfitStatuses are statuses of answers that can't continue a stream.
var unfitStatuses = []int{
	201, 202, 203, 204, 205, 206, 207, 226, 300, 301, 302, 303, 304, 307, 308, 400, 401, 402, 403, 404, 405, 406, 407, 408, 409, 410, 411, 412,
	413, 414, 415, 416, 417, 418, 421, 422, 423, 424, 425, 426, 428, 429, 431, 451, 499, 500, 501, 502, 503, 504, 507, 599,
}

// UnfitAnswers returns complete answers to a request for the chunks of a stream from next on, none of which is the rest of the stream,
// by what they are. In each, {id} stands for the id of the request's attempt.
func UnfitAnswers(next int) map[string]string {
	const receipt = "X-Response-Seal: s\r\n"
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", next, ErrorText)
	out := map[string]string{}
	add := func(name string, status int, fields, body string) {
		out[name] = fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: {id}\r\n%s\r\n%s", status, fields, body)
	}
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	for _, status := range unfitStatuses {
		name := fmt.Sprint("status ", status)
		add(name+", empty", status, receipt+length(""), "")
		if status == http.StatusNoContent || status == http.StatusNotModified {
			continue // they have no body
		}
		add(name, status, receipt+"Content-Type: text/plain\r\n"+length(ErrorText), ErrorText)
		add(name+", no receipt", status, length(ErrorText), ErrorText)
		add(name+", chunks", status, receipt+"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(ErrorText), ErrorText))
		add(name+", ends with its connection", status, receipt+"Connection: close\r\n", ErrorText)
		add(name+", an event", status, receipt+"Content-Type: text/event-stream\r\n"+length(event), event)
	}
	for name, fields := range map[string]string{
		"JSON": "Content-Type: application/json\r\n", "plain text": "Content-Type: text/plain\r\n", "no type": "",
		"two types": "Content-Type: text/event-stream\r\nContent-Type: text/html\r\n",
	} {
		add(name+", empty", 200, receipt+fields+length(""), "")
		add(name, 200, receipt+fields+length(ErrorText), ErrorText)
		add(name+", an event", 200, receipt+fields+length(event), event)
	}
	for name, body := range map[string]string{
		"stream, empty":                 "",
		"stream, a comment":             ": " + ErrorText + "\n\n",
		"stream, head of an answer":     "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\n" + ErrorText,
		"stream, no event id":           "data: " + ErrorText + "\n\n",
		"stream, a later event":         fmt.Sprintf("id: %d\ndata: %s\n\n", next+7, ErrorText),
		"stream, part of an event":      fmt.Sprintf("id: %d\ndata: %s", next, ErrorText),
		"stream, events of the client":  fmt.Sprintf("id: %d\ndata: %s\n\n", next-1, ErrorText),
		"stream, an event without text": fmt.Sprintf("event: error\ndata: %s\n\n", ErrorText),
	} {
		add(name, 200, receipt+"Content-Type: text/event-stream\r\n"+length(body), body)
	}
	return out
}

// NothingLeft reports whether one of UnfitAnswers is a complete stream without an event that its client lacks.
func NothingLeft(name string) bool {
	return slices.Contains([]string{"stream, empty", "stream, a comment", "stream, events of the client"}, name)
}

// chunksBefore returns how many chunks of a stream the request states that its sender has; 0 if it states none.
func (a *Arrival) chunksBefore() int {
	n, err := strconv.Atoi(a.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return n
}

// serveContinuation answers a request that continues a stream with Faults.Continuation or Faults.Unfit, if one is set, and closes the
// connection. It reports whether it did.
func serveContinuation(w http.ResponseWriter, a *Arrival, f Faults) bool {
	if f.Continuation == "" && a.Unfit == "" || a.Header.Get("Last-Event-Id") == "" {
		return false
	}
	answer := f.Continuation
	if a.Unfit != "" {
		answer = UnfitAnswers(a.chunksBefore() + 1)[a.Unfit]
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	// A router that has left gets nothing.
	_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "{id}", a.ID))
	return true
}
