package infra

import (
	"errors"
	"testing"
	"time"

	"wigeondale/fakes/raw"
	"wigeondale/fleet"
)

// Guards against a malformed answer of a service of the platform that counts as an answer, or as proof that a write wasn't applied.
func TestMalformedAnswerOfPlatformServiceIsNoAnswer(t *testing.T) {
	calls := map[string]struct {
		body string
		call func(url string) error
	}{
		"range": {`{"kvs":[],"revision":"1"}`, func(url string) error { _, err := newKV(url, time.Second).Range(t.Context(), "a", "b", 1); return err }},
		"grant": {`{"ID":"7","TTL":"9"}`, func(url string) error { _, err := newKV(url, time.Second).Grant(t.Context(), time.Second); return err }},
		"list":  {`[]`, func(url string) error { _, err := NewVMList(url, time.Second, nil).List(t.Context()); return err }},
		"size": {"ok", func(url string) error {
			_, err := NewWeightStore(url, time.Second, nil).Size(t.Context(), fleet.ModelRef{Model: "m", Version: "v"})
			return err
		}},
	}
	for name, c := range calls {
		for form, answer := range raw.MalformedAnswers(200, "", c.body) {
			if name == "size" && form == "space in a trailer's name" {
				continue // the answer to HEAD has no trailer
			}
			s := &raw.Server{Answers: []string{answer}}
			addr, err := s.Start()
			if err != nil {
				t.Fatal(err)
			}
			err = c.call("http://" + addr)
			if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknownOutcome) || name == "grant" && errors.Is(err, ErrUnavailable) {
				t.Errorf("%s, %s: %v", name, form, err)
			}
			s.Close()
		}
	}
}

// Guards against a malformed refusal of a write that counts as proof that it wasn't applied.
func TestMalformedRefusalOfWriteProvesNothing(t *testing.T) {
	for _, status := range []int{400, 404, 429} {
		for form, answer := range raw.MalformedAnswers(status, "", "no") {
			s := &raw.Server{Answers: []string{answer}}
			addr, err := s.Start()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := newKV("http://"+addr, time.Second).Grant(t.Context(), time.Second); !errors.Is(err, ErrUnknownOutcome) {
				t.Errorf("%s, status %d: %v", form, status, err)
			}
			s.Close()
		}
	}
}
