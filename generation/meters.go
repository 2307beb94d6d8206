package generation

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fleet"
)

// Causes of a loss, used as the label of the resume latency and in logs.
const (
	causeBroken   = "broken"
	causeSilence  = "silence"
	causeMismatch = "mismatch"
	causeGap      = "gap"
	causeRouter   = "router"
	causeAnswer   = "failed-answer" // the backend server itself answered with a failure
	causeUnfit    = "unfit-answer"  // its answer, or the end of it, is not that of the stream which it was to continue
	causeNotRun   = "not-run"
)

type meters struct {
	set       *metrics.Set
	textBytes atomic.Int64
	open      atomic.Int64

	attempts, resumes, prefill          *metrics.Counter
	droppedStale, droppedDuplicate      *metrics.Counter
	droppedGap, droppedMismatch         *metrics.Counter
	tokens, refusedByEngine, reattaches *metrics.Counter
	versionUnknown                      *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	m := &meters{set: set}
	m.attempts = set.GetOrCreateCounter("wigeon_attempts_total")
	m.resumes = set.GetOrCreateCounter("wigeon_resumes_total")
	m.reattaches = set.GetOrCreateCounter("wigeon_reattaches_total")
	m.prefill = set.GetOrCreateCounter("wigeon_extra_prefill_bytes_total")
	m.tokens = set.GetOrCreateCounter("wigeon_tokens_total")
	m.refusedByEngine = set.GetOrCreateCounter("wigeon_engine_refusals_total")
	m.versionUnknown = set.GetOrCreateCounter("wigeon_stream_versions_unknown_total")
	m.droppedStale = set.GetOrCreateCounter(`wigeon_tokens_dropped_total{reason="late"}`)
	m.droppedDuplicate = set.GetOrCreateCounter(`wigeon_tokens_dropped_total{reason="repeated"}`)
	m.droppedGap = set.GetOrCreateCounter(`wigeon_tokens_dropped_total{reason="gap"}`)
	m.droppedMismatch = set.GetOrCreateCounter(`wigeon_tokens_dropped_total{reason="mismatch"}`)
	set.GetOrCreateGauge("wigeon_accepted_text_bytes", func() float64 { return float64(m.textBytes.Load()) })
	set.GetOrCreateGauge("wigeon_generations_open", func() float64 { return float64(m.open.Load()) })
	return m
}

func (m *meters) resumed(cause string, d time.Duration) {
	m.set.GetOrCreateHistogram(`wigeon_resume_latency_seconds{cause="` + cause + `"}`).Update(d.Seconds())
}

func (m *meters) silenceEnded(result string) {
	m.set.GetOrCreateCounter(`wigeon_silent_attempts_total{result="` + result + `"}`).Inc()
}

func (m *meters) ended(o fleet.Outcome) {
	m.set.GetOrCreateCounter(`wigeon_generations_total{outcome="` + string(o) + `"}`).Inc()
}
