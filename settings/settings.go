// Package settings reads a daemon's settings: strict JSON, checked whole before
// any socket opens. A misspelt field that was silently dropped would show only
// when its default bites, perhaps in the middle of an outage; so an unknown
// field, a wrong type and an impossible value are errors that name the JSON
// path and what was expected, and all of them are reported at once.
package settings

// Settings is everything that one daemon is told. Durations carry their unit
// in the field's name.
type Settings struct {
	Node      Node       `json:"node"`
	Listen    Listen     `json:"listen"`
	Platform  Platform   `json:"platform"`
	Peers     Peers      `json:"peers"`
	Cursor    Cursor     `json:"cursor"`
	Operators []Operator `json:"operators"`
	Policy    Policy     `json:"policy"`
	Routing   Routing    `json:"routing"`
	Limits    Limits     `json:"limits"`
	Claims    Claims     `json:"claims"`
	Directory Directory  `json:"directory"`
	Shutdown  Shutdown   `json:"shutdown"`
	Log       Log        `json:"log"`
	// Hosted, when set, runs the daemon on the users' platform. Of the other
	// sections only node, limits, shutdown and log then count.
	Hosted *Hosted `json:"hosted"`

	keys keys
	path string
}

// Path of the file that the settings were loaded from.
func (s *Settings) Path() string { return s.path }

// Node names this process and its place.
type Node struct {
	ID            string `json:"id"`
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Incarnation is new at each start. "auto" draws one at random.
	Incarnation string `json:"incarnation"`
}

// Listen holds the listeners.
type Listen struct {
	Caller Listener `json:"caller"`
	Admin  Listener `json:"admin"`
	Peer   Listener `json:"peer"`
	// AdvertisePeer is the host:port that peers dial; empty is the peer address.
	AdvertisePeer string `json:"advertise_peer"`
}

// Listener is one address, with TLS if TLS is set.
type Listener struct {
	Address string `json:"address"` // host:port
	TLS     *TLS   `json:"tls"`
}

// TLS names PEM files. A relative path starts at the settings file. With
// ClientCAFile, clients must present a certificate signed by it.
type TLS struct {
	CertFile     string `json:"cert_file"`
	KeyFile      string `json:"key_file"`
	ClientCAFile string `json:"client_ca_file"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	KVURL      string `json:"kv_url"`
	VMsURL     string `json:"vms_url"`
	WeightsURL string `json:"weights_url"`
	// WeightsBytesPerSecond is the rate that the weight store grants; 0 is not
	// known, and nothing is budgeted.
	WeightsBytesPerSecond int64 `json:"weights_bytes_per_second"`
	CallTimeoutMS         int   `json:"call_timeout_ms"`
}

// Peers governs the links between daemons.
type Peers struct {
	Seeds            []string `json:"seeds"` // host:port
	KeyFile          string   `json:"key_file"`
	KeyEnv           string   `json:"key_env"`
	FullMeshLimit    int      `json:"full_mesh_limit"` // nodes
	SameDomainLinks  int      `json:"links_inside"`
	OtherDomainLinks int      `json:"links_across"`
	HeartbeatMS      int      `json:"heartbeat_ms"`
}

// Cursor governs the ids of streamed events. The previous key is still
// accepted, so that a key can be changed without losing running streams.
type Cursor struct {
	KeyFile         string `json:"key_file"`
	KeyEnv          string `json:"key_env"`
	PreviousKeyFile string `json:"previous_key_file"`
	PreviousKeyEnv  string `json:"previous_key_env"`
	MaxAgeS         int    `json:"max_age_s"`
}

// The roles of operators, each including the one before it.
const (
	Viewer    = "viewer"
	Editor    = "editor"
	Confirmer = "confirmer"
)

// Operator may use the admin interface with a token whose SHA-256 is here.
type Operator struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"` // 64 hex digits
	Role        string `json:"role"`
}

// Policy is the deployment's own weighing of latency against extra work.
type Policy struct {
	ResumeLatencyWeight float64 `json:"resume_latency_weight"`
	ExtraWorkWeight     float64 `json:"extra_work_weight"`
	MinSuspectMS        int     `json:"min_suspect_ms"`
	MaxSuspectMS        int     `json:"max_suspect_ms"`
	// FailuresPerHour is the prior rate at which one engine fails.
	FailuresPerHour float64 `json:"failures_per_hour"`
	// TailExponent is how fast healthy pauses longer than all that were seen
	// are taken to become rarer: twice as long is 2^TailExponent times as rare.
	TailExponent float64 `json:"tail_exponent"`
	// PrefillBytesPerSecond is the engines' prefill rate in bytes of text.
	PrefillBytesPerSecond float64 `json:"prefill_bytes_per_second"`
	// FixedTimeoutMS, above 0, puts a fixed timeout on each stream's silence in
	// place of the judgement by weights: the baseline of measurements.
	FixedTimeoutMS     int   `json:"fixed_timeout_ms"`
	MaxWaitMS          int   `json:"patience_ms"` // wait for a backend server to resume on
	RetryBudgetPercent int   `json:"retry_budget_percent"`
	Hedge              Hedge `json:"hedge"`
}

// Hedge governs second tries of idempotent lookups that are late.
type Hedge struct {
	Enabled       bool `json:"enabled"`
	BudgetPercent int  `json:"budget_percent"`
}

// Routing lists the filters, scorers and picker in their order. Empty means
// the defaults of package routing, which also checks the names.
type Routing struct {
	Steps []Step `json:"steps"`
}

// Step is one filter, scorer or picker. Weight counts for scorers only.
type Step struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Limits bounds what callers can make the daemon hold.
type Limits struct {
	HeaderBytes     int   `json:"header_bytes"`
	BodyBytes       int64 `json:"body_bytes"`
	MaxOpenRequests int   `json:"max_open_requests"`
	Queue           int   `json:"queue"` // requests
	// RequestsPerEngine is how many requests one engine is given at once by all
	// routers; 0 learns it from the engines' load reports.
	RequestsPerEngine int `json:"requests_per_engine"`
	// ReservePercent of an engine's requests is kept from new batch work, for
	// lookups and for answers to be resumed.
	ReservePercent int `json:"reserve_percent"`
}

// Claims governs the at-most-once claims.
type Claims struct {
	Shards  int `json:"shards"`
	WindowS int `json:"window_s"` // how long a key protects
}

// Directory governs what the daemon knows of backend servers.
type Directory struct {
	VMsPollMS  int `json:"vms_poll_ms"`
	LoadPollMS int `json:"load_poll_ms"`
	Subset     int `json:"subset"` // replicas per model that this node talks to
}

// Shutdown governs a graceful end.
type Shutdown struct {
	// BalancerNoticeMS is how long requests are still accepted after readiness fails.
	BalancerNoticeMS int `json:"balancer_notice_ms"`
}

// Log governs the log on standard output.
type Log struct {
	Verbosity int `json:"verbosity"` // klog's -v
	// LinesPerSecond is the rate beyond which lines are dropped and counted.
	LinesPerSecond int `json:"lines_per_second"`
}

// Default returns the settings that hold where a file says nothing.
func Default() *Settings {
	return &Settings{
		Node:     Node{Incarnation: autoIncarnation},
		Platform: Platform{CallTimeoutMS: 2000},
		Peers: Peers{
			Seeds:            []string{},
			FullMeshLimit:    24,
			SameDomainLinks:  3,
			OtherDomainLinks: 3,
			HeartbeatMS:      500,
		},
		Cursor:    Cursor{MaxAgeS: 21600},
		Operators: []Operator{},
		Policy: Policy{
			ResumeLatencyWeight:   1,
			ExtraWorkWeight:       1,
			MinSuspectMS:          100,
			MaxSuspectMS:          5000,
			FailuresPerHour:       0.1,
			TailExponent:          4,
			PrefillBytesPerSecond: 40_000,
			MaxWaitMS:             5000,
			RetryBudgetPercent:    20,
			Hedge:                 Hedge{BudgetPercent: 2},
		},
		Routing:   Routing{Steps: []Step{}},
		Limits:    Limits{HeaderBytes: 32 << 10, BodyBytes: 4 << 20, MaxOpenRequests: 4096, Queue: 1024, ReservePercent: 12},
		Claims:    Claims{Shards: 4, WindowS: 86400},
		Directory: Directory{VMsPollMS: 1000, LoadPollMS: 500, Subset: 40},
		Shutdown:  Shutdown{BalancerNoticeMS: 5000},
		Log:       Log{LinesPerSecond: 400},
	}
}
