package health

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func isMereSilence(err error) bool {
	var c *Cause
	return errors.As(err, &c) && c.Silent()
}

// Guards against an answer that waits for a run which its engine has reported not to have.
func TestReportWithoutTheRunIsNoMereSilence(t *testing.T) {
	run(t, func(m *Monitor) {
		streams := startThenSilence(m, &fakeQuerier{report: fakeReport{"q2": 13}, delay: 5 * time.Millisecond}, 3*time.Second)
		if cause := streams[0].cause(); cause == nil || isMereSilence(cause) {
			t.Errorf("the run is gone, and the cause is %v", cause)
		}
	})
}

// Guards against an answer that waits for a silent engine which has restarted since.
func TestRestartAfterASilenceIsReported(t *testing.T) {
	run(t, func(m *Monitor) {
		var causes []error
		s := m.Watch("e", Work{Request: "q1", PromptBytes: 1000}, func(cause error) { causes = append(causes, cause) })
		defer s.Close()
		decode(3, &attempt{Stream: s})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		m.Restarted("e")
		if n := len(causes); n == 0 || !errors.Is(causes[n-1], ErrRestarted) {
			t.Errorf("reported: %v", causes)
		}
	})
}
