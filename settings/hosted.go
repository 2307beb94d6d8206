package settings

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"wigeondale/admission"
	"wigeondale/number"
)

// Hosted holds the settings for the users' platform.
type Hosted struct {
	FrontAddress     string `json:"front_address"`     // for clients
	ReadinessAddress string `json:"readiness_address"` // for the platform's balancer
	MetricsAddress   string `json:"metrics_address"`
	PeerAddress      string `json:"peer_address"` // for other nodes
	// PeerProxyAddress is the host:port of an HTTP CONNECT proxy through which this process connects to other
	// nodes; if empty, it connects to them directly.
	PeerProxyAddress string `json:"peer_proxy_address"`
	StoreAddress     string `json:"store_address"`
	// PeerPort, if set, is the port of PeerAddress, which is a host alone in the file then.
	PeerPort int `json:"peer_port"`
	// GraceS is the time between the shutdown signal and the platform's kill, in seconds, and GraceMS the same in milliseconds; see
	// Grace.
	GraceS  float64 `json:"grace_s" null:"absent" reload:"live"`
	GraceMS float64 `json:"grace_ms" null:"absent" reload:"live"`
	// RetryShare is the share of a service's requests that may be retried, and RetryBurst
	// the number of retries that may be made at once beyond that share. Both apply to all
	// nodes together.
	RetryShare float64 `json:"retry_share" null:"absent" reload:"live"`
	RetryBurst float64 `json:"retry_burst" null:"absent" reload:"live"`
	// RetryWindowS is the number of seconds over which the platform counts requests and
	// retries. If it is 0, the window isn't known, and nodes lend no retry budget.
	RetryWindowS float64 `json:"retry_window_s" null:"absent" reload:"live-if-set"`
	// RolloutShare is the share of a service's requests, and RolloutBurst the number of
	// requests beyond that share, that all nodes together may send to a version on trial.
	// If that version is bad, only these requests are affected.
	RolloutShare float64 `json:"rollout_share" null:"absent" reload:"live"`
	RolloutBurst float64 `json:"rollout_burst" null:"absent" reload:"live"`
	// StoreWritesPerS is how many writes a second the store takes from all nodes together.
	StoreWritesPerS float64 `json:"store_writes_per_s" null:"absent" reload:"live"`
	// FirstStart states that the whole deployment starts for the first time: no node has served before. It must not stay
	// set for later starts of a node.
	FirstStart bool `json:"first_start"`
	// HeartbeatMS is the interval at which replicas renew their store entries.
	HeartbeatMS float64 `json:"heartbeat_ms" null:"absent"`
	// FailuresPerHour is the assumed failure rate of a replica before any failure is
	// observed.
	FailuresPerHour float64 `json:"failures_per_hour"`
	// MinSilenceMS and MaxSilenceMS are the shortest and the longest silence of a replica
	// after which the router continues the replica's streams at another one.
	MinSilenceMS int `json:"min_silence_ms"`
	MaxSilenceMS int `json:"max_silence_ms"`
	// MinPrefillMS is the minimum time that a router waits for the first chunk of a stream,
	// in addition to the time to read the prompt at PrefillTokensPerSecond.
	MinPrefillMS           int     `json:"min_prefill_ms"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// GCPercent is the garbage collector's target percentage, as in debug.SetGCPercent. A
	// small value uses more processor time and less memory.
	GCPercent int `json:"gc_percent"`
	// Decisions selects how the router decides.
	Decisions Decisions `json:"decisions"`
}

// Decisions selects one variant for each kind of decision of the router that the program
// implements in several variants.
type Decisions struct {
	RefusalPolicy string `json:"refusing"` // name of a refusal policy of package admission
	Sharing       string `json:"sharing"`  // name of a way to share of package admission
	// Sizing selects what a request counts as at an engine: SizingMaximum or SizingLearned.
	Sizing string `json:"sizing"`
}

// Values of Decisions.Sizing.
const (
	SizingMaximum = "maximum" // the stated maximum of the answer
	SizingLearned = "learned" // what answers like it have turned out to need
)

// SetDefaults sets the values of fields that a file with this section does not set.
func (h *Hosted) SetDefaults() {
	*h = Hosted{
		RetryShare:             0.8,
		RetryBurst:             150,
		RolloutShare:           0.1,
		RolloutBurst:           50,
		StoreWritesPerS:        400,
		HeartbeatMS:            1200,
		FailuresPerHour:        200,
		MinSilenceMS:           260,
		MaxSilenceMS:           450,
		MinPrefillMS:           2500,
		PrefillTokensPerSecond: 5000,
		GCPercent:              30,
		Decisions:              Decisions{RefusalPolicy: string(admission.RefuseLate), Sharing: string(admission.ShareByArrival), Sizing: SizingMaximum},
	}
}

// Ranges of values that the program serves well. A value outside of them doesn't refuse the file, which would stop all routers at once: it
// is in force as far as it can be, and reported.
const (
	minHeartbeat, maxHeartbeat = 50 * time.Millisecond, time.Minute
	minGrace                   = time.Second // a shorter one leaves hardly any request the time to end
	// maxRetryWindow: a router that has just started has no part of the burst for a window.
	maxRetryWindow     = 10 * time.Minute
	maxRetryShare      = 10
	minStoreWritesPerS = 1
	// maxSpan keeps sums of times within a time.Duration.
	maxSpan = 365 * 24 * time.Hour
)

// Grace returns the time between the shutdown signal and the platform's kill, and false if it isn't known.
func (h *Hosted) Grace() (grace time.Duration, known bool) {
	grace = number.Duration(h.GraceMS, time.Millisecond)
	if h.GraceS > 0 {
		grace = number.Duration(h.GraceS, time.Second)
	}
	return min(grace, maxSpan), h.GraceS > 0 || h.GraceMS > 0
}

// RetryWindow returns the window in which the platform counts retries, or 0 if it isn't known.
func (h *Hosted) RetryWindow() time.Duration {
	return min(number.Duration(h.RetryWindowS, time.Second), maxSpan)
}

// Heartbeat returns the interval at which replicas renew their store entries, within the range that is served.
func (h *Hosted) Heartbeat() time.Duration {
	return min(max(number.Duration(h.HeartbeatMS, time.Millisecond), minHeartbeat), maxHeartbeat)
}

// StoreWrites returns how many writes a second the store takes from all nodes together, at least minStoreWritesPerS.
func (h *Hosted) StoreWrites() float64 { return max(h.StoreWritesPerS, minStoreWritesPerS) }

// unusual returns the values that are outside of the range that is served well.
func (h *Hosted) unusual() Problems {
	c := &checker{}
	if grace, known := h.Grace(); known && grace < minGrace {
		c.addProblem("hosted.grace_s", "1 or more, since hardly any request can end before the kill", grace.Seconds())
	} else if !known {
		c.addProblem("hosted.grace_s", "a value, since a stopping node begins no request without it", "none")
	}
	if h.RetryWindow() > maxRetryWindow {
		c.addProblem("hosted.retry_window_s", "600 or less, since a node has no part of the burst for so long after its start", h.RetryWindowS)
	}
	inRange(c, "hosted.retry_share", h.RetryShare, 0, maxRetryShare)
	inRange(c, "hosted.rollout_share", h.RolloutShare, 0, 1)
	inRange(c, "hosted.store_writes_per_s", h.StoreWritesPerS, minStoreWritesPerS, math.MaxFloat64)
	inRange(c, "hosted.heartbeat_ms", h.HeartbeatMS, millis(minHeartbeat), millis(maxHeartbeat))
	return c.problems
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *checker) hosted(h *Hosted) {
	c.address("hosted.front_address", h.FrontAddress)
	c.address("hosted.readiness_address", h.ReadinessAddress)
	c.address("hosted.metrics_address", h.MetricsAddress)
	c.address("hosted.store_address", h.StoreAddress)
	c.address("hosted.peer_address", h.PeerAddress)
	inRange(c, "hosted.peer_port", h.PeerPort, 0, math.MaxUint16)
	if h.PeerProxyAddress != "" {
		c.address("hosted.peer_proxy_address", h.PeerProxyAddress)
	}
	for path, v := range map[string]float64{
		"grace_s": h.GraceS, "grace_ms": h.GraceMS, "retry_share": h.RetryShare, "retry_burst": h.RetryBurst, "retry_window_s": h.RetryWindowS,
		"rollout_share": h.RolloutShare, "rollout_burst": h.RolloutBurst, "store_writes_per_s": h.StoreWritesPerS, "heartbeat_ms": h.HeartbeatMS,
	} {
		if v < 0 {
			c.addProblem("hosted."+path, "0 or more", v)
		}
	}
	if h.GraceS > 0 && h.GraceMS > 0 {
		c.addProblem("hosted.grace_ms", "only one of grace_s and grace_ms", "both")
	}
	inRange(c, "hosted.failures_per_hour", h.FailuresPerHour, 0.001, 100000)
	inRange(c, "hosted.min_silence_ms", h.MinSilenceMS, 10, maxSuspectMS)
	inRange(c, "hosted.max_silence_ms", h.MaxSilenceMS, h.MinSilenceMS+1, maxSuspectMS)
	inRange(c, "hosted.min_prefill_ms", h.MinPrefillMS, 10, 60000)
	inRange(c, "hosted.prefill_tokens_per_second", h.PrefillTokensPerSecond, 1, 1e9)
	inRange(c, "hosted.gc_percent", h.GCPercent, 5, 1000)
	c.oneOf("hosted.decisions.refusing", h.Decisions.RefusalPolicy, admission.RefusalPolicies())
	c.oneOf("hosted.decisions.sharing", h.Decisions.Sharing, admission.Sharings())
	c.oneOf("hosted.decisions.sizing", h.Decisions.Sizing, []string{SizingMaximum, SizingLearned})
}

// joinPeerPort adds the port to an address that is a host alone.
func (h *Hosted) joinPeerPort() {
	if _, _, err := net.SplitHostPort(h.PeerAddress); err != nil && h.PeerPort > 0 && h.PeerAddress != "" {
		h.PeerAddress = net.JoinHostPort(h.PeerAddress, strconv.Itoa(h.PeerPort))
	}
}

// oneOf adds a problem if the value of a field is not one of the names.
func (c *checker) oneOf(field, value string, names []string) {
	if !slices.Contains(names, value) {
		c.addProblem(field, fmt.Sprintf("one of %q", names), strconv.Quote(value))
	}
}
