package daemon

import (
	"bytes"
	stdlog "log"
	"strings"
	"testing"

	"k8s.io/klog/v2"

	"wigeondale/event"
)

// Guards against lines of libraries that have no number, are not bounded, or contain the text of an answer.
func TestLibraryLinesAreEvents(t *testing.T) {
	var log bytes.Buffer
	out := event.NewOutput(&log, 1000)
	event.LogTo(out, 0)
	t.Cleanup(klog.ClearLogger)
	logger := stdlog.New(libraryLog{event.New("n")}, "", 0)
	logger.Print("http: panic\n\n stack\n")
	logger.Printf("Unsolicited response starting with %q; err=<nil>", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nsecret")
	logger.Printf("Unsolicited response starting with %q; err=<nil>", "secret")
	logger.Print(strings.Repeat("x", maxLibraryLine+1))
	logger.Print(strings.Repeat("y\n", maxLibraryLines+1))
	out.Close()
	got := log.String()
	if n := strings.Count(got, "event=1709"); n != 5+maxLibraryLines || strings.Count(got, "\n") != n {
		t.Errorf("%d events", n)
	}
	for _, want := range []string{`text="http: panic"`, `text="stack"`, `200 OK\""`, `text="Unsolicited response"`, `"` + strings.Repeat("x", maxLibraryLine) + `"`} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing", want)
		}
	}
	if strings.Contains(got, "secret") {
		t.Errorf("text of an answer is logged:\n%s", got)
	}
}
