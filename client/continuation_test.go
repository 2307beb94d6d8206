package client

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"wigeondale/fleet"
)

// Guards against an answer that isn't the rest of a stream being joined to it, or ending it as complete, when a client reconnects.
func TestUnfitAnswerToAReconnectIsNotJoined(t *testing.T) {
	const whole = " a b c d"
	bodies := []string{"", "ERRORTEXT", `{"error":{"code":"c","outcome":"unknown"}}`, chunk(3, "ERRORTEXT") + done, done, "HTTP/1.1 404 X\r\n\r\nERRORTEXT"}
	for status := 200; status < 600; status++ {
		for n, body := range bodies {
			if status == http.StatusOK && strings.Contains(body, done) || status > http.StatusOK && status%len(bodies) != n {
				continue // an answer of a router, and one body for each of the other statuses
			}
			for _, mediaType := range []string{"text/event-stream", "application/json"} {
				name := fmt.Sprintf("%d %s %q", status, mediaType, body)
				var got strings.Builder
				res, err := reconnect(t, func(w http.ResponseWriter) {
					w.Header().Set("Content-Type", mediaType)
					w.WriteHeader(status)
					_, _ = io.WriteString(w, body) // some statuses have no body
				}, chunk(3, " c")+chunk(4, " d")+done, func(text string) { got.WriteString(text) })
				if !strings.HasPrefix(whole, got.String()) || got.String() != res.Text || (res.Outcome == fleet.Complete) != (got.String() == whole) || res.Outcome == fleet.NotRun {
					t.Errorf("%s: %s with %q, %v", name, res.Outcome, got.String(), err)
				}
			}
		}
	}
}

// Guards against a stream that ends without its mark counting as complete when the router that goes on with it ends too early.
func TestReconnectedStreamWithoutItsMarkIsNotComplete(t *testing.T) {
	for _, rest := range []string{"", ": comment\n\n", chunk(3, " c"), chunk(3, " c") + chunk(4, " d"), chunk(3, " c") + strings.TrimSuffix(done, "\n")} {
		res, err := reconnect(t, func(w http.ResponseWriter) { io.WriteString(w, rest) }, "", nil)
		if err == nil || res.Outcome == fleet.Complete || !strings.HasPrefix(" a b c d", res.Text) {
			t.Errorf("%q: %s with %q", rest, res.Outcome, res.Text)
		}
	}
}

// Guards against the answer to the second try of a call being joined to the part of the first that broke off.
func TestSecondTryOfACallReturnsOneAnswer(t *testing.T) {
	outcomes := []string{"complete", "failed", ""}
	wants := []fleet.Outcome{fleet.Complete, fleet.Failed, fleet.Unknown}
	for status := 200; status < 600; status++ {
		first := newRouter(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Wigeon-Outcome", "complete")
			abortAfter(w, "part")
		})
		n := status % len(outcomes)
		second := newRouter(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Wigeon-Outcome", outcomes[n])
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "ERRORTEXT") // some statuses have no body
		})
		res, err := New([]string{first, second}, "k", fastRetry()).Call(t.Context(), CallRequest{Service: "s", Path: "p"})
		if res.Status != status || res.Outcome != wants[n] || strings.Contains(string(res.Body), "part") || (err == nil) != (n == 0) {
			t.Errorf("%d, outcome %q: %+v, %v", status, outcomes[n], res, err)
		}
	}
}

// reconnect asks a router whose stream breaks off after two events, then one that sends an answer, and then the first again, which sends the
// rest.
func reconnect(t *testing.T, answer func(http.ResponseWriter), rest string, onToken func(string)) (Result, error) {
	t.Helper()
	begun := false
	first := newRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		if begun {
			io.WriteString(w, rest)
			return
		}
		begun = true
		abortAfter(w, chunk(1, " a")+chunk(2, " b")+"id: c3\ndata: {")
	})
	second := newRouter(t, func(w http.ResponseWriter, _ *http.Request) { answer(w) })
	opts := fastRetry()
	opts.MaxTries = 3
	return New([]string{first, second}, "k", opts).Generate(t.Context(), Request{Model: "m"}, onToken)
}
