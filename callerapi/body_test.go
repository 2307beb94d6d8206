package callerapi

import (
	"strings"
	"testing"
)

// Guards against a body whose parsed values take many times its size.
func TestBodyOfTooManyValues(t *testing.T) {
	s := &Server{Config: Config{Options: Options{MaxTokens: 100, DefaultTokens: 1}}}
	most := maxValues - 4 // the body, model, the list of messages and its last message
	for _, v := range []struct {
		body, want string
		form       format
	}{
		{`{"model":"m","messages":[` + strings.Repeat("{},", 1_398_088) + `{}]}`, "the body has more than 65536 values", chat},
		{`{"model":"m"` + strings.Repeat(`, "x" : 1`, maxValues) + `}`, "the body has more than 65536 values", completions},
		{`{"model":"m","messages":[` + strings.Repeat("{},", most+1) + `{}]}`, "the body has more than 65536 values", chat},
		{`{"model":"m","messages":[` + strings.Repeat("{},", most) + `{}]}`, "messages[0].role: want system, user or assistant", chat},
		{`{"model":"m","prompt":"` + strings.Repeat("[{,:", maxValues) + `"}`, "", completions},
	} {
		_, f := s.parseBody([]byte(v.body), v.form)
		if got := failureText(f); !strings.Contains(got, v.want) || (v.want == "") != (f == nil) {
			t.Errorf("%.30s of %d bytes: got %q, want %q", v.body, len(v.body), got, v.want)
		}
	}
}

func failureText(f *Failure) string {
	if f == nil {
		return ""
	}
	return f.Error()
}
