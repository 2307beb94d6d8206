package dump_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"wigeondale/dump"
)

// A part that panics, returns a value that JSON can't represent, or does not return
// must not prevent the dump of the others.
func TestOneBadPart(t *testing.T) {
	var r dump.Registry
	r.Add("good", func() any { return 7 })
	r.Add("panics", func() any { panic("x") })
	r.Add("strange", func() any { return func() {} })
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	var got map[string]any
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got["good"] != 7.0 || got["panics"] == nil || got["strange"] == nil {
		t.Errorf("got %v", got)
	}
	stuck := make(chan struct{})
	defer close(stuck)
	r.Timeout = time.Millisecond
	r.Add("stuck", func() any { <-stuck; return 1 })
	for range 2 { // the second dump starts while the first call still blocks
		if got := r.Snapshot(); string(got["stuck"]) != `{"error":"dump: no answer in time"}` || len(got) != 4 {
			t.Errorf("got %s", got)
		}
	}
	r.Timeout = 0
	one := httptest.NewRecorder()
	r.ServeHTTP(one, httptest.NewRequest("GET", "/?section=good", nil))
	if one.Body.String() != "7\n" {
		t.Errorf("one section: %q", one.Body)
	}
}
