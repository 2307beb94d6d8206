// Package settings reads a daemon's settings: strict JSON, completely checked before
// any socket is opened. A misspelt field that was silently ignored would only be
// noticed when its default causes harm, perhaps in the middle of an outage. So an
// unknown field, a wrong type and an invalid value are errors that name the JSON path
// and the expected value, and all of them are reported at once.
package settings

// Settings holds all settings of one daemon. Names of durations end with their unit.
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
	// Hosted, if set, runs the daemon on the users' platform. Of the other sections,
	// only node, limits, shutdown and log then apply.
	Hosted *Hosted `json:"hosted"`

	keys keys
	path string
}

// Path returns the path of the file from which the settings were loaded.
func (s *Settings) Path() string { return s.path }

// Node identifies this process and its location.
type Node struct {
	ID            string `json:"id"`
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// BackendProxyAddress is the host:port of an HTTP CONNECT proxy through which this process connects to
	// backend servers; if empty, it connects to them directly.
	BackendProxyAddress string `json:"backend_proxy_address"`
	// Incarnation differs at each start. "auto" generates a random one.
	Incarnation string `json:"incarnation"`
}

// Listen configures the listeners.
type Listen struct {
	Caller Listener `json:"caller"`
	Admin  Listener `json:"admin"`
	Peer   Listener `json:"peer"`
	// AdvertisePeer is the host:port to which peers connect; if empty, the address of
	// the peer listener.
	AdvertisePeer string `json:"advertise_peer"`
}

// Listener is one address, with TLS if TLS is set.
type Listener struct {
	Address string `json:"address"` // host:port
	TLS     *TLS   `json:"tls"`
}

// TLS names PEM files. Relative paths are resolved from the settings file. With
// ClientCAFile, clients must present a certificate that is signed by the CA in that file.
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
	// WeightsBytesPerSecond is the rate that the weight store allows; 0 means unknown
	// and disables budgeting.
	WeightsBytesPerSecond int64 `json:"weights_bytes_per_second"`
	CallTimeoutMS         int   `json:"call_timeout_ms"`
}

// Peers configures the links between daemons.
type Peers struct {
	Seeds            []string `json:"seeds"` // host:port
	KeyFile          string   `json:"key_file"`
	KeyEnv           string   `json:"key_env"`
	FullMeshLimit    int      `json:"full_mesh_limit"` // nodes
	SameDomainLinks  int      `json:"links_inside"`
	OtherDomainLinks int      `json:"links_across"`
	HeartbeatMS      int      `json:"heartbeat_ms"`
}

// Cursor configures the ids of streamed events. The ids are authenticated with a key. Ids
// made with the previous key are still accepted, so that the key can be changed without
// losing running streams.
type Cursor struct {
	KeyFile         string `json:"key_file"`
	KeyEnv          string `json:"key_env"`
	PreviousKeyFile string `json:"previous_key_file"`
	PreviousKeyEnv  string `json:"previous_key_env"`
	MaxAgeS         int    `json:"max_age_s"`
}

// Roles of operators. Each role includes the permissions of the roles before it.
const (
	Viewer    = "viewer"
	Editor    = "editor"
	Confirmer = "confirmer"
)

// Operator is a person or program that may use the admin interface, with the token whose
// SHA-256 is TokenSHA256.
type Operator struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"` // 64 hex digits
	Role        string `json:"role"`
}

// Policy weighs, for this deployment, the latency that a silent backend server causes
// against the extra work of resuming its streams elsewhere.
type Policy struct {
	ResumeLatencyWeight float64 `json:"resume_latency_weight"`
	ExtraWorkWeight     float64 `json:"extra_work_weight"`
	MinSuspectMS        int     `json:"min_suspect_ms"`
	MaxSuspectMS        int     `json:"max_suspect_ms"`
	// FailuresPerHour is the assumed failure rate of an engine before any failure is
	// observed.
	FailuresPerHour float64 `json:"failures_per_hour"`
	// TailExponent sets how fast the probability of a healthy pause falls beyond the
	// longest observed pause: a pause twice as long is 2^TailExponent times as rare.
	TailExponent float64 `json:"tail_exponent"`
	// PrefillBytesPerSecond is the engines' prefill rate in bytes of text.
	PrefillBytesPerSecond float64 `json:"prefill_bytes_per_second"`
	// FixedTimeoutMS, if above 0, resumes a stream after this fixed silence instead of
	// weighing latency against extra work. Measurements use it as their baseline.
	FixedTimeoutMS     int   `json:"fixed_timeout_ms"`
	MaxWaitMS          int   `json:"patience_ms"` // maximum wait for a backend server to resume on
	RetryBudgetPercent int   `json:"retry_budget_percent"`
	Hedge              Hedge `json:"hedge"`
}

// Hedge configures second tries of slow idempotent calls.
type Hedge struct {
	Enabled       bool `json:"enabled"`
	BudgetPercent int  `json:"budget_percent"`
}

// Routing lists the filters, scorers and picker in order. An empty list means the
// defaults of package routing, which also validates the names.
type Routing struct {
	Steps []Step `json:"steps"`
}

// Step is one filter, scorer or picker. Weight only applies to scorers.
type Step struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Limits limit the memory that callers can make the daemon use.
type Limits struct {
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// MemoryMB is the memory that the process may use; 0 means that it isn't known. An eighth of it is for answers
	// while they are read and passed on, an eighth for requests, and an eighth for the receive buffers of clients.
	MemoryMB int `json:"memory_mb" round:"limit" null:"absent"`
	// Descriptors is the number of files and connections that the process may have open; 0 means the limit of the operating system.
	Descriptors     int `json:"descriptors" round:"limit" null:"absent"`
	MaxOpenRequests int `json:"max_open_requests"`
	Queue           int `json:"queue"` // requests
	// RequestsPerEngine is the number of requests that one engine gets at once from all
	// routers; 0 means that each router learns the number from the engines' load reports.
	RequestsPerEngine int `json:"requests_per_engine"`
	// ReservePercent is the share of the slots of an engine that new batch work may not
	// use. This share is reserved for calls and for resumed answers.
	ReservePercent int `json:"reserve_percent"`
}

// Claims configures the claims of keys, by which a request that must not be repeated runs
// at most once.
type Claims struct {
	Shards  int `json:"shards"`
	WindowS int `json:"window_s"` // how long a key protects against a second run
}

// Directory configures how often backend servers are observed, and how many of them this
// node uses.
type Directory struct {
	VMsPollMS  int `json:"vms_poll_ms"`
	LoadPollMS int `json:"load_poll_ms"`
	Subset     int `json:"subset"` // replicas per model that this node uses
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// BalancerNoticeMS is how long requests are accepted after readiness fails.
	BalancerNoticeMS int `json:"balancer_notice_ms"`
}

// Log configures the log on standard output.
type Log struct {
	Verbosity int `json:"verbosity"` // klog's -v
	// LinesPerSecond is the number of log lines per second beyond which further lines are
	// dropped. The number of dropped lines is logged.
	LinesPerSecond int `json:"lines_per_second"`
}

// Default returns the settings that apply where a file sets nothing.
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
