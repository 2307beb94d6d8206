package event

// ID is the number of a kind of log event. Numbers are never reused.
type ID int

// Severity is the klog level at which an event is written.
type Severity int

// The severities that events use.
const (
	Info Severity = iota
	Warning
	Error
)

// Entry describes one kind of event, as listed in docs/EVENTS.md.
type Entry struct {
	ID       ID
	Name     string
	Severity Severity
	Text     string // what happened, and what an operator does about it
}

// Events of intents, the administration API and orders (16xx).
const (
	RevisionInForce ID = 1601 + iota
	RevisionUnreadable
	PauseNoticed
	LogLost
	SnapshotFailed
	PlanAccepted
	PlanConflict
	ConfirmUnsettled
	OperatorRefused
	OrderLeaseHeld
	OrderLeaseLost
	OrderSent
	OrderFailed
)

// Events of links and membership (12xx).
const (
	PeerLinkUp ID = 1201 + iota
	PeerLinkLost
	PeerMessageRejected
	PeerHandshakeRefused
	PeerSuspected
	PeerDead
	PeerRefuted
	PeerDuplicateID
	PeerPaused
)

// Events of the daemon and its settings (17xx).
const (
	Started ID = 1701 + iota
	ShutdownBegun
	ShutdownDone
	VMLeaving
	VMStays
	LinesDropped
	Reloaded
	ShutdownCut
	LibraryLine
	ClientsDropped
	SettingsRefused
	SettingsUnusual
)

// Events of the inventory of VMs (18xx).
const (
	InventoryHeld ID = 1801 + iota
	InventoryShrunk
	InventoryAlone
	InventoryFromPeer
)

// Events of health, routing and admission (13xx).
const (
	EngineSuspect ID = 1301 + iota
	BackendEjected
	BackendRecovered
	EngineLeaving
	CacheGap
	DomainSuspect
	EngineAsked
	DomainAnswers
)

// Events of generations and of calls to backend servers (14xx).
const (
	AttemptMismatch ID = 1401 + iota
	OutcomeUnknown
	CancelDropped
	VoidFailed
	AttemptBegun
	AttemptLost
	AttemptResumed
	CopyMade
	CopyDropFailed
	RunInquired
	AnswerHeaderUnknown
	NoFurtherAttempt
	AttemptSilent
	AttemptDelivers
	AnswerMisplaced
	AnswerUnsolicited
	AnswerMalformed
	AnswerContinues
)

// Events of the log and of at-most-once claims (11xx).
const (
	LogWatchLost ID = 1101 + iota
	ClaimsUnavailable
	ClaimsUnsettled
	ClaimVoidsDropped
	ClaimsRebuilt
	ClaimsCompactFailed
	ClaimsShardsDiffer
)

// Events of the caller API (15xx).
const (
	CursorRefused ID = 1501 + iota
)

// Events of a node on the users' platform: routes, replicas, opaque requests,
// other nodes (19xx).
const (
	TableInForce ID = 1901 + iota
	ItemUnreadable
	ReplicaKnown
	ReplicaLeaving
	RelayRefused
	RelayEnded
	HolderSought
	RegisterFailed
	PeerAskFailed
	PeerListenerFailed
	ReplicasKnown
	ReplicaAdopted
	ReplicaWordOutdated
	RequestWaits
	RequestOverload
	EnginesSurveyed
	EngineChosen
	RolloutOrdered
	RolloutStage
	RolloutJudged
	RolloutHeld
	RolloutNotWritten
	_ // 1923 named an event that is no longer written
	HoldNotStored
	ReplicasWithdrawn
	SamplePlanWritten
	StoreItemRewritten
	ReplicaUnlisted
)

// Events of the platform's store (20xx).
const (
	StoreLost ID = 2001 + iota
	StoreRegained
	StoreHistoryLost
	StoreFromPeer
	StoreItemFailed
	StoreBulkLeft
	StoreFilterUnreadable
	StoreWentBack
	StoreItemKept
)

// Events of requests that crash backend servers (21xx).
const (
	LossExamined ID = 2101 + iota
	CrashCounted
	RequestHeld
	RequestCleared
	RequestLifted
	PartCrashCounted
	PartHeld
	PartCleared
	PartLifted
	PartTrialLost
	EvidenceReceived
)

// Events of what backend servers ask of the routers (22xx).
const (
	LimitBegun ID = 2201 + iota
	LimitChanged
	LimitEnded
	RequestWithheld
	RestBegun
	RestEnded
	BrittleBegun
	BrittleEnded
	BrittleRefused
)

// Events of routers that are cut off from backend servers (23xx).
const (
	CutOffBegun ID = 2301 + iota
	CutOffEnded
	PeerCutOff
	PeerCutOffEnded
	RequestPassedOn
	RequestTakenOver
	RequestNotTaken
)

// Events of the software versions of streams (24xx).
const (
	SoftwareVersions ID = 2401 + iota
	StreamBegan
	StreamVersionFound
	StreamVersionUnknown
	StreamVersionGone
	VersionNotStored
	StreamRecordsNotStored
	MovesUnknown
)

// Events of the retry budget that routers share (25xx).
const (
	RetryBudgetShort ID = 2501 + iota
)

// Events of the order of waiting requests over all routers (27xx).
const (
	YieldBegun ID = 2701 + iota
	YieldEnded
)

// Events of the expected cost of requests (28xx).
const (
	SizesKnown ID = 2801 + iota
	SizesUnknown
)
