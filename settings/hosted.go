package settings

import (
	"fmt"
	"slices"
	"strconv"

	"wigeondale/admission"
)

// Hosted is what the daemon is told on the users' platform.
type Hosted struct {
	FrontAddress     string `json:"front_address"`     // clients
	ReadinessAddress string `json:"readiness_address"` // the platform's balancer
	MetricsAddress   string `json:"metrics_address"`
	PeerAddress      string `json:"peer_address"` // other nodes
	StoreAddress     string `json:"store_address"`
	// GraceMS is the time from the signal to end to the platform's kill.
	GraceMS int `json:"grace_ms"`
	// RetryShare of the requests for a service may be tried again, and RetryBurst
	// more at once, by all nodes together.
	RetryShare float64 `json:"retry_share"`
	RetryBurst float64 `json:"retry_burst"`
	// RolloutShare of the requests for a service, and RolloutBurst more, may reach a version
	// on trial that turns out to be bad, from all nodes together.
	RolloutShare float64 `json:"rollout_share"`
	RolloutBurst float64 `json:"rollout_burst"`
	// HeartbeatMS is the interval at which replicas renew their entries.
	HeartbeatMS int `json:"heartbeat_ms"`
	// FailuresPerHour is the prior rate at which one replica fails.
	FailuresPerHour float64 `json:"failures_per_hour"`
	// MinSilenceMS and MaxSilenceMS bound the silence of a replica after which
	// its streams go on elsewhere.
	MinSilenceMS int `json:"min_silence_ms"`
	MaxSilenceMS int `json:"max_silence_ms"`
	// MinPrefillMS is the least wait for a first piece; the time that reading
	// the prompt takes at PrefillTokensPerSecond comes on top.
	MinPrefillMS           int     `json:"min_prefill_ms"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// GCPercent is the collector's target. A small one trades processor time
	// for memory.
	GCPercent int `json:"gc_percent"`
	// Decisions name the ways in which requests are placed, wait and are refused.
	Decisions Decisions `json:"decisions"`
}

// Decisions name one way for each decision that has several.
type Decisions struct {
	RefusalPolicy string `json:"refusing"` // as in package admission
}

// SetDefaults sets what holds where a file with the section says nothing.
func (h *Hosted) SetDefaults() {
	*h = Hosted{
		GraceMS:                8000,
		RetryShare:             0.8,
		RetryBurst:             150,
		RolloutShare:           0.1,
		RolloutBurst:           50,
		HeartbeatMS:            1200,
		FailuresPerHour:        200,
		MinSilenceMS:           260,
		MaxSilenceMS:           450,
		MinPrefillMS:           2500,
		PrefillTokensPerSecond: 5000,
		GCPercent:              30,
		Decisions:              Decisions{RefusalPolicy: string(admission.RefuseLate)},
	}
}

func (c *checker) hosted(h *Hosted) {
	c.address("hosted.front_address", h.FrontAddress)
	c.address("hosted.readiness_address", h.ReadinessAddress)
	c.address("hosted.metrics_address", h.MetricsAddress)
	c.address("hosted.store_address", h.StoreAddress)
	c.address("hosted.peer_address", h.PeerAddress)
	within(c, "hosted.grace_ms", h.GraceMS, 1000, dayMS)
	within(c, "hosted.retry_share", h.RetryShare, 0, 10)
	within(c, "hosted.retry_burst", h.RetryBurst, 0, 10000)
	within(c, "hosted.rollout_share", h.RolloutShare, 0.001, 1)
	within(c, "hosted.rollout_burst", h.RolloutBurst, 0, 10000)
	within(c, "hosted.heartbeat_ms", h.HeartbeatMS, 50, 60000)
	within(c, "hosted.failures_per_hour", h.FailuresPerHour, 0.001, 100000)
	within(c, "hosted.min_silence_ms", h.MinSilenceMS, 10, maxSuspectMS)
	within(c, "hosted.max_silence_ms", h.MaxSilenceMS, h.MinSilenceMS+1, maxSuspectMS)
	within(c, "hosted.min_prefill_ms", h.MinPrefillMS, 10, 60000)
	within(c, "hosted.prefill_tokens_per_second", h.PrefillTokensPerSecond, 1, 1e9)
	within(c, "hosted.gc_percent", h.GCPercent, 5, 1000)
	c.oneOf("hosted.decisions.refusing", h.Decisions.RefusalPolicy, admission.RefusalPolicies())
}

// oneOf reports a value that is not among the names.
func (c *checker) oneOf(field, value string, names []string) {
	if !slices.Contains(names, value) {
		c.fail(field, fmt.Sprintf("one of %q", names), strconv.Quote(value))
	}
}
