package ctl

import (
	"errors"
	"testing"
	"time"

	"wigeondale/fakes/raw"
)

// Guards against a malformed answer of a node's administration interface that counts as an answer or as a refusal.
func TestMalformedAnswerOfNodeIsNoAnswer(t *testing.T) {
	for status, body := range map[int]string{200: "{}", 409: `{"error":{"code":"conflict","message":"m"}}`} {
		for name, answer := range raw.MalformedAnswers(status, "", body) {
			s := &raw.Server{Answers: []string{answer}}
			addr, err := s.Start()
			if err != nil {
				t.Fatal(err)
			}
			c, err := newAdminClient(args{Admin: addr, Timeout: time.Second}, func(string) string { return "" })
			if err == nil {
				err = c.call(t.Context(), "POST", "/admin/v1/nodes", nil, &struct{}{})
			}
			if !errors.Is(err, ErrUnreachable) {
				t.Errorf("%s, status %d: %v", name, status, err)
			}
			s.Close()
		}
	}
}
