package backend

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// Guards against a signal of a backend server that is dropped unnoticed, and against names that fill the memory.
func TestUnknownHeadersAreCountedByName(t *testing.T) {
	set := metrics.NewSet()
	u := NewUnknownHeaders([]string{"x-known"}, nil, set)
	for range 3 {
		u.Observe("app", http.Header{"X-Known": {"1"}, "Server-Mood": {"1"}, "X-New": {"2"}, "Date": {"d"}})
	}
	if got := u.State(); len(got) != 2 || got["Server-Mood"] != 3 || got["X-New"] != 3 {
		t.Errorf("got %v", got)
	}
	if n := set.GetOrCreateCounter(`wigeon_unknown_answer_headers_total{name="Server-Mood"}`).Get(); n != 3 {
		t.Errorf("the metric is %d", n)
	}
	for i := range 1000 {
		u.Observe("app", http.Header{fmt.Sprintf("X-N%d", i): {"1"}})
	}
	if got := u.State(); len(got) != maxUnknownNames+1 || got[otherName] == 0 {
		t.Errorf("%d names, %d under %q", len(got), got[otherName], otherName)
	}
}
