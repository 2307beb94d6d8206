package bounded

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// Guards against an answer that is cut at the bound and taken for a complete one, and against one that
// is just as long as allowed and refused.
func TestBoundIsNoEnd(t *testing.T) {
	const limit = 16
	for n := range 2 * limit {
		for name, r := range map[string]io.Reader{
			"at once": strings.NewReader(strings.Repeat("x", n)), "by bytes": iotest.OneByteReader(strings.NewReader(strings.Repeat("x", n))),
			"with its end": iotest.DataErrReader(strings.NewReader(strings.Repeat("x", n))),
		} {
			got, err := io.ReadAll(NewReader(r, limit))
			if (err == nil) != (n <= limit) || len(got) != min(n, limit) || err != nil && !errors.Is(err, ErrTooLong) {
				t.Errorf("%d bytes %s: got %d, %v", n, name, len(got), err)
			}
		}
	}
}

// Guards against a part of a value, several values, or none being taken for an answer.
func TestDecodeJSONTakesOneValue(t *testing.T) {
	for body, ok := range map[string]bool{
		`{"a":1}`: true, " {\"a\":1}\n ": true, `{"a":1} {"a":2}`: false, `{"a":1}x`: false, `{"a":1`: false, "": false, " ": false,
		`{"a":1}` + strings.Repeat(" ", 99): false, `{"a":"` + strings.Repeat("x", 99): false,
	} {
		var v struct {
			A any `json:"a"`
		}
		err := DecodeJSON(&http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader(body))}, 64, &v)
		if (err == nil) != ok || errors.Is(err, io.EOF) {
			t.Errorf("%.20q: got %v", body, err)
		}
	}
}

// Guards against a body that is closed twice or read for good when it is discarded.
func TestDrainEnds(t *testing.T) {
	r, w := io.Pipe()
	defer w.Close()
	began := time.Now()
	Drain(r, 10)
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %v", took)
	}
}
