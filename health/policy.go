package health

import "time"

// Policy holds a deployment's weights, and the bounds on the timeouts derived from them.
type Policy struct {
	// ResumeLatencyWeight is the cost of one second for which one caller waits
	// on a silent engine, whether or not the engine is dead.
	ResumeLatencyWeight float64 `json:"resume_latency_weight"`
	// ExtraWorkWeight is the cost of one second that one stream of an engine
	// loses to prefill that would not be needed without failures.
	ExtraWorkWeight float64 `json:"extra_work_weight"`
	// FailuresPerHour is the assumed number of real failures of one engine per hour. From it
	// follows the prior probability that a gap between tokens is a failure.
	FailuresPerHour float64 `json:"failures_per_hour"`
	// PrefillBytesPerSecond is the engine's prefill rate in bytes of text.
	PrefillBytesPerSecond float64 `json:"prefill_bytes_per_second"`
	// TokenBytes is the mean size of one token's text in bytes.
	TokenBytes float64 `json:"token_bytes"`
	// TypicalGap is the gap between tokens assumed before any was observed.
	TypicalGap time.Duration `json:"typical_gap"`
	// TailExponent is how fast healthy gaps longer than all gaps seen are assumed to become
	// rarer: a gap twice as long is 2^TailExponent times as rare. With a low value long
	// silences are accepted.
	TailExponent float64 `json:"tail_exponent"`
	// FixedTimeout, if above 0, replaces the evaluation of silence: a stream that is silent
	// for this long is cancelled, whatever the engine's other streams do.
	FixedTimeout time.Duration `json:"fixed_timeout"`
	// MinSilence and MaxSilence bound the threshold: the silence from which an engine is
	// suspected.
	MinSilence time.Duration `json:"min_silence"`
	MaxSilence time.Duration `json:"max_silence"`
	// StallFactor times the engine's threshold, at least MinStall and at most MaxStall, is how
	// long one stream may be silent while other streams of its engine are alive.
	StallFactor float64       `json:"stall_factor"`
	MinStall    time.Duration `json:"min_stall"`
	MaxStall    time.Duration `json:"max_stall"`
	// MinPrefill plus PrefillFactor times the expected prefill bounds the wait for a first
	// token. While the engine's other streams are alive, this bound is multiplied by
	// QueueFactor, since the request is then queued behind them. The bound is never above
	// MaxPrefill.
	MinPrefill    time.Duration `json:"min_prefill"`
	MaxPrefill    time.Duration `json:"max_prefill"`
	PrefillFactor float64       `json:"prefill_factor"`
	QueueFactor   float64       `json:"queue_factor"`
	// PeerReportFactor multiplies the prior of failure while a peer report is current.
	PeerReportFactor float64 `json:"rumour_factor"`
	// PeerReportTTL is how long a peer report stays current.
	PeerReportTTL time.Duration `json:"rumour_life"`
	// DownAfter is the number of refused connections in a row after which a backend server is
	// Down.
	DownAfter int `json:"down_after"`
	// LateAfter is the number of late answers in a row, over at least LateSpan,
	// after which a backend server is suspected: see Monitor.Late.
	LateAfter int           `json:"late_after"`
	LateSpan  time.Duration `json:"late_span"`
	// MinBackoff is how long an ejected backend server gets no work at first. This time
	// doubles with each failed probe up to MaxBackoff. When a probe has had no result for
	// ProbeTimeout, another probe may be sent.
	MinBackoff   time.Duration `json:"min_backoff"`
	MaxBackoff   time.Duration `json:"max_backoff"`
	ProbeTimeout time.Duration `json:"probe_timeout"`
	// MaxEjectedShare is the largest share of a replica set ejected at once.
	MaxEjectedShare float64 `json:"max_ejected_share"`
	// MassSilence is the silence from which an engine is suspected while more than
	// MaxEjectedShare of the engines in use are silent together.
	MassSilence time.Duration `json:"mass_silence"`
	// Tick is the interval of evaluation. A gap between ticks longer than PauseGap is a pause
	// of this process. Pauses are excluded from silences. PauseGrace is excluded in addition
	// to the pause, so that tokens waiting in sockets are read first.
	Tick       time.Duration `json:"tick"`
	PauseGap   time.Duration `json:"pause_gap"`
	PauseGrace time.Duration `json:"pause_grace"`
}

// DefaultPolicy returns a policy that gives the same weight to one second for which a caller
// waits and to one second that a stream of an engine loses to additional prefill.
func DefaultPolicy() Policy {
	return Policy{
		ResumeLatencyWeight:   1,
		ExtraWorkWeight:       1,
		FailuresPerHour:       0.1,
		PrefillBytesPerSecond: 40_000,
		TokenBytes:            5,
		TypicalGap:            30 * time.Millisecond,
		TailExponent:          4,
		MinSilence:            80 * time.Millisecond,
		MaxSilence:            3 * time.Second,
		StallFactor:           4,
		MinStall:              time.Second,
		MaxStall:              10 * time.Second,
		MinPrefill:            time.Second,
		MaxPrefill:            30 * time.Second,
		PrefillFactor:         4,
		QueueFactor:           4,
		PeerReportFactor:      50,
		PeerReportTTL:         3 * time.Second,
		DownAfter:             2,
		LateAfter:             4,
		LateSpan:              500 * time.Millisecond,
		MinBackoff:            250 * time.Millisecond,
		MaxBackoff:            8 * time.Second,
		ProbeTimeout:          5 * time.Second,
		MaxEjectedShare:       0.5,
		MassSilence:           4 * time.Second,
		Tick:                  5 * time.Millisecond,
		PauseGap:              40 * time.Millisecond,
		PauseGrace:            100 * time.Millisecond,
	}
}

// Check returns an error that names the first field out of its range.
func (p *Policy) Check() error {
	positive := []struct {
		name  string
		value float64
	}{
		{"resume_latency_weight", p.ResumeLatencyWeight},
		{"extra_work_weight", p.ExtraWorkWeight},
		{"failures_per_hour", p.FailuresPerHour},
		{"prefill_bytes_per_second", p.PrefillBytesPerSecond},
		{"tail_exponent", p.TailExponent},
		{"min_silence", float64(p.MinSilence)},
		{"max_silence", float64(p.MaxSilence - p.MinSilence)},
		{"mass_silence", float64(p.MassSilence)},
		{"min_backoff", float64(p.MinBackoff)},
		{"max_backoff", float64(p.MaxBackoff)},
		{"tick", float64(p.Tick)},
		{"pause_gap", float64(p.PauseGap - p.Tick)},
		{"down_after", float64(p.DownAfter)},
		{"late_after", float64(p.LateAfter)},
		{"late_span", float64(p.LateSpan)},
		{"max_ejected_share", p.MaxEjectedShare},
	}
	for _, f := range positive {
		if !(f.value > 0) {
			return Error.New("%s is too small", f.name)
		}
	}
	if p.MaxEjectedShare >= 1 {
		return Error.New("max_ejected_share must be below 1")
	}
	if p.MaxSilence > bucketBound(buckets-1) {
		return Error.New("max_silence must be at most %v", bucketBound(buckets-1))
	}
	return nil
}

// prefill returns the engine time to prefill text of the given size, in seconds; 0 if no
// prefill rate is set.
func (p *Policy) prefill(bytes float64) float64 {
	if p.PrefillBytesPerSecond <= 0 {
		return 0
	}
	return bytes / p.PrefillBytesPerSecond
}

// PrefillBound returns how long a stream may wait for its first token. engineAlive reports
// whether other streams of the engine receive tokens, which allows a longer wait.
func (p *Policy) PrefillBound(promptBytes int, engineAlive bool) time.Duration {
	expected := p.prefill(float64(promptBytes)) * p.PrefillFactor
	bound := p.MinPrefill + time.Duration(expected*float64(time.Second))
	if engineAlive {
		bound = time.Duration(float64(bound) * p.QueueFactor)
	}
	return min(bound, p.MaxPrefill)
}

// stallBound returns how long one stream may be silent while other streams of its engine are
// alive.
func (p *Policy) stallBound(threshold time.Duration) time.Duration {
	bound := time.Duration(float64(threshold) * p.StallFactor)
	return min(max(bound, p.MinStall), p.MaxStall)
}
