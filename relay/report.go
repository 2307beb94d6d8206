package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/generation"
	"wigeondale/route"
)

type meters struct {
	set *metrics.Set
}

func newMeters(set *metrics.Set) *meters { return &meters{set: set} }

func (m *meters) ended(kind, result string, took time.Duration) {
	m.set.GetOrCreateCounter(`wigeon_relayed_total{kind="` + kind + `",result="` + result + `"}`).Inc()
	m.set.GetOrCreateHistogram(`wigeon_relay_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}

// refuse returns the Result for a request that is not sent to any backend server, and
// records the refusal in metrics and the log. With status 503, a client that stated its
// timeout is told to try again after at most a third of that timeout, see
// retryAfterDivisor.
func (r *Relay) refuse(req *Request, table *route.Table, status int, reason string, retry time.Duration) Result {
	version := int64(0)
	if table != nil {
		version = table.Version
	}
	r.m.set.GetOrCreateCounter(`wigeon_relay_refused_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	r.cfg.Log.Emit(event.RelayRefused, "request", req.ID, "status", status, "reason", reason,
		"host", req.Host, "path", req.Path, "protocol", req.Protocol, "version", version)
	if status == http.StatusServiceUnavailable && req.ClientTimeout > 0 {
		retry = min(retry, req.ClientTimeout/retryAfterDivisor)
	}
	return Result{Status: status, RetryAfter: retry}
}

// ended records in metrics and the log how a forwarded request ended.
func (r *Relay) ended(j *job, res generation.Result, v Result, took time.Duration) {
	r.m.ended(j.route.Kind.String(), string(res.Outcome), took)
	kv := []any{
		"request", j.req.ID, "digest", res.Digest, "route", j.route.Name, "service", j.service, "account", j.account,
		"version", j.version, "protocol", j.req.Protocol, "outcome", string(res.Outcome), "pieces", res.Tokens, "resumes", res.Resumes,
		"first_ms", res.TimeToFirstToken.Milliseconds(), "pause_ms", res.LongestPause.Milliseconds(), "took_ms", took.Milliseconds(),
	}
	if j.req.HasPartialAnswer {
		kv = append(kv, "first_chunk", j.req.FirstChunk, "began_as", j.req.BeganAs)
	}
	if res.Code != "" {
		kv = append(kv, "code", res.Code, "status", v.Status, "retry_after_ms", v.RetryAfter.Milliseconds(), "err", res.Err)
	}
	r.cfg.Log.Emit(event.RelayEnded, kv...)
}
