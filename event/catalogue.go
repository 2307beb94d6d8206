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
)

// Catalogue lists all events in the order of their numbers.
var Catalogue = []Entry{
	{LogWatchLost, "log-watch-lost", Warning, "A watch on a log ended; until it is open again, new entries are found by reading the log. If it goes on, check the key-value service."},
	{ClaimsUnavailable, "claims-unavailable", Warning, "Claims are refused as not-run because the key-value service can't be written. Check the key-value service."},
	{ClaimsUnsettled, "claims-unsettled", Warning, "It is unknown whether a batch of claims was written; its requests were refused and their claims will be voided. Check the key-value service if it repeats."},
	{ClaimVoidsDropped, "claim-voids-dropped", Warning, "There are more unsettled claims than this node stores; the keys of the dropped ones stay claimed until their window ends. Check the key-value service; tell callers that use such a key to check whether their work was done."},
	{ClaimsRebuilt, "claims-rebuilt", Info, "A shard's claims were read again from snapshot and log. Nothing to do."},
	{ClaimsCompactFailed, "claims-compact-failed", Warning, "A snapshot of a shard's claims could not be stored; a later one will replace it. Starts take longer until then. Check the key-value service if it repeats."},
	{ClaimsShardsDiffer, "claims-shards-differ", Warning, "This node's claims.shards differs from the number that all nodes agreed on; the agreed number is used. Set claims.shards to the agreed number."},
	{PeerLinkUp, "peer-link-up", Info, "A link to another node is authenticated. Nothing to do."},
	{PeerLinkLost, "peer-link-lost", Info, "A link ended, for the reason given; it is dialled again if it is still needed. Check the network if many nodes report silent or slow."},
	{PeerMessageRejected, "peer-message-rejected", Warning, "A message was malformed or too large and its link was closed. Check that both nodes run compatible releases."},
	{PeerHandshakeRefused, "peer-handshake-refused", Warning, "A connection failed to prove the shared key, or is not from the node that was dialled. Check the key in the settings, and which host connects."},
	{PeerSuspected, "peer-suspected", Info, "This node receives no heartbeats from a member that it monitors, and has notified the other nodes. Nothing to do unless it repeats."},
	{PeerDead, "peer-dead", Warning, "The suspicion of a member was not refuted in time, or the member announced that it leaves: it counts as dead until it is heard again. Check its VM."},
	{PeerRefuted, "peer-refuted", Info, "This node was reported as suspect or dead and refuted that with a higher version. If it repeats, check this VM for pauses."},
	{PeerDuplicateID, "peer-duplicate-id", Error, "Another process uses this node's id at another address. Give each VM its own id in the settings."},
	{PeerPaused, "peer-paused", Warning, "This process was paused for the time given; meanwhile its failure detection of other nodes was suspended. Look for an overloaded or frozen VM."},
	{EngineSuspect, "engine-suspect", Warning, "An engine sent nothing on any of its streams, which are resumed elsewhere. Check the engine if it repeats."},
	{BackendEjected, "backend-ejected", Warning, "A backend server gets no new work until a probe succeeds. Check the backend server if it stays ejected."},
	{BackendRecovered, "backend-recovered", Info, "A backend server answers again and gets work. Nothing to do."},
	{EngineLeaving, "engine-leaving", Info, "A backend server is leaving and gets no new work. Nothing to do."},
	{CacheGap, "cache-gap", Info, "Cache events were lost, so the engine's cache map is not trusted for a while. Nothing to do."},
	{DomainSuspect, "domain-suspect", Warning, "Several backend servers of one failure domain failed together; the whole domain is avoided for a short time."},
	{EngineAsked, "engine-asked", Info, "An engine that was silent, or failed together with others of its domain, was queried about its runs; lost is the number of runs that it does not have or whose tokens did not arrive. With an error it did not answer and is suspected."},
	{AttemptMismatch, "attempt-mismatch", Warning, "An engine's answer named another request, attempt or model, skipped a token or was malformed; the attempt was ended. Check that engine if it repeats."},
	{OutcomeUnknown, "outcome-unknown", Warning, "A request marked as non-idempotent may have run, and its answer was lost. The caller has been notified; check whether the work was done before it is requested again."},
	{CancelDropped, "cancel-dropped", Warning, "An abandoned attempt will not be cancelled; the engine ends it after its linger time. Check that engine if it repeats."},
	{VoidFailed, "void-failed", Warning, "The claim of a request that did not run could not be freed: repeats of its key are answered as unknown until the claim expires. Check the key-value service."},
	{AttemptBegun, "attempt-begun", Info, "An attempt is sent to a backend server; the line names the standby that stores a copy of the run."},
	{AttemptLost, "attempt-lost", Warning, "An attempt ended before its answer was complete; the following lines of the request say what was done."},
	{AttemptResumed, "attempt-resumed", Info, "Another attempt delivers the next chunk of an answer whose earlier attempt was lost; the pause for the caller is given."},
	{CopyMade, "copy-made", Info, "The copy of a run was lost or is outdated; another one was made, or could not be made for the reason given."},
	{CopyDropFailed, "copy-drop-failed", Info, "The copy of a run that has ended was not freed; the backend server frees it after some seconds."},
	{RunInquired, "run-inquired", Info, "An attempt has waited long for its first chunk, and its backend server was asked whether it has the run. If it does not, another attempt follows."},
	{AnswerHeaderUnknown, "answer-header-unknown", Warning, "Answers of a service carry a header that this program does not know; what the backend servers state in it is ignored. Written once for each name and service; wigeon_unknown_answer_headers_total counts further ones. Find out from the backend servers' documentation what it asks of routers."},
	{CursorRefused, "cursor-refused", Warning, "A caller sent a cursor that is forged, of another account, malformed or too old, and was refused. Check that all nodes share the cursor key if it repeats; otherwise the account is trying cursors of others."},
	{RevisionInForce, "revision-in-force", Info, "A newer revision of the configuration is in force on this node. Nothing to do."},
	{RevisionUnreadable, "revision-unreadable", Error, "A log entry can't be read and is treated as no change. Find out which program wrote it: a newer build or another program that uses the same prefix."},
	{PauseNoticed, "pause-noticed", Warning, "The process was paused for longer than the bound; new work waits until the revision is confirmed. Check the VM if it repeats."},
	{LogLost, "log-lost", Warning, "Watching the configuration log failed and is being retried. If it goes on, check the key-value service: traffic continues, but plans can't be confirmed."},
	{SnapshotFailed, "snapshot-failed", Warning, "A snapshot of the configuration could not be stored; a later one will replace it. Starts take longer until then. Check the key-value service if it repeats."},
	{PlanAccepted, "plan-accepted", Info, "A plan became a revision. Nothing to do."},
	{PlanConflict, "plan-conflict", Info, "A plan was refused because objects in it have changed. The operator makes a new plan."},
	{ConfirmUnsettled, "confirm-unsettled", Warning, "It is unknown whether a plan was accepted. Confirm the same plan again, at any node."},
	{OperatorRefused, "operator-refused", Warning, "A call to the administration API had no valid token or not the required role. Find out who called if it repeats."},
	{OrderLeaseHeld, "order-lease-held", Info, "This node now sends orders to backend servers. Nothing to do."},
	{OrderLeaseLost, "order-lease-lost", Warning, "This node no longer sends orders: its lease expired or could not be renewed in time. Another node takes over."},
	{OrderSent, "order-sent", Info, "A backend server was sent its desired state. Nothing to do."},
	{OrderFailed, "order-failed", Warning, "A backend server did not accept an order; it is sent again. Check the backend server if it goes on."},
	{Started, "started", Info, "The process is serving on its listeners. Nothing to do."},
	{ShutdownBegun, "shutdown-begun", Info, "A shutdown signal arrived: readiness fails from now on and open requests are finished. Nothing to do."},
	{ShutdownDone, "shutdown-done", Info, "Every open request has ended and the process exits. Nothing to do."},
	{VMLeaving, "vm-leaving", Info, "This node's own VM is to leave: readiness fails now, new work is refused after the balancer's notice period, open requests are finished. End the process when it has no open requests."},
	{VMStays, "vm-stays", Info, "The order that this node's VM leaves was cancelled; it accepts work again. Nothing to do."},
	{LinesDropped, "lines-dropped", Warning, "Log lines were dropped to keep their volume bounded; the number is given."},
	{Reloaded, "reloaded", Info, "The settings file was read and checked again after a hangup signal; its values take effect at the next start. If it is not valid, correct it before then."},
	{ShutdownCut, "shutdown-cut", Warning, "Requests were still open when the time before the platform's kill ran out; they are aborted with the process. Look for replicas that answer slowly."},
	{InventoryHeld, "inventory-held", Warning, "Readings of the VM list lack more than half of the known VMs, or are empty, and nothing is removed because of them. Check the VM list; the next event reports if this lasts."},
	{InventoryShrunk, "inventory-shrunk", Warning, "Readings continued to lack more than half of the known VMs, so the missing ones were removed. Nothing to do if that many VMs were removed; otherwise check the VM list."},
	{InventoryAlone, "inventory-alone", Warning, "No reading of the VM list arrived from another node for a minute, so this node occasionally reads it itself. Check the VM list and the links between nodes."},
	{InventoryFromPeer, "inventory-from-peer", Info, "This node had no inventory and fetched that of another node. Nothing to do."},
	{TableInForce, "table-in-force", Info, "A newer version of routes, services and client accounts is in force on this node. Nothing to do."},
	{ItemUnreadable, "item-unreadable", Error, "A store item can't be used and the last good value stays in force; a replica with an unusable entry gets no new work until its entry is valid again. Find out which program wrote it."},
	{ReplicaKnown, "replica-known", Info, "A replica registered itself and now gets work. Nothing to do."},
	{ReplicaLeaving, "replica-leaving", Info, "A replica is leaving or was removed and gets no new work, for the reason given. Nothing to do."},
	{RelayRefused, "relay-refused", Warning, "A request was refused before it reached a backend server, for the reason given."},
	{RelayEnded, "relay-ended", Info, "A relayed request ended."},
	{HolderSought, "holder-sought", Info, "A client returned with part of its answer; backend servers were asked which of them still has the prompt in its cache. If none has, the prompt is read again."},
	{RegisterFailed, "register-failed", Warning, "This node could not write its address to the store and will retry; until then other nodes don't connect to it. Check the store if it goes on."},
	{PeerAskFailed, "peer-ask-failed", Info, "Another node did not answer a query for its state of the store; the next one is asked."},
	{PeerListenerFailed, "peer-listener-failed", Error, "The listener for other nodes failed: this node receives nothing from them. Restart it."},
	{ReplicasKnown, "replicas-known", Info, "Many replicas became known at once, as at a start, and now get work. The state dump lists them."},
	{ReplicaAdopted, "replica-adopted", Info, "While the store is unavailable, a replica was found at the address of one that crashed; it gets work until the store is back and overrides this. Nothing to do."},
	{ReplicaWordOutdated, "replica-word-outdated", Info, "A report about a replica refers to an earlier start of it and is ignored. Nothing to do."},
	{RequestWaits, "request-waits", Info, "All engines of the service are at capacity, or other requests are already queued; the request waits in this router's queue. Nothing to do; if it goes on, the service needs more engines."},
	{RequestOverload, "request-overload", Warning, "A request was refused because it would have to wait too long; its client received a retry time. If it goes on, the service needs more engines."},
	{EnginesSurveyed, "engines-surveyed", Info, "Some engines were queried for their load before one was chosen for the request, because there are too many routers to exchange loads with each other. Those that did not answer in time were left out. Check the network if many don't answer."},
	{EngineChosen, "engine-chosen", Info, "An engine was chosen for the request; its estimated load, including this request, is given, and the age of its own last report (-1: none, the load comes from other routers). Nothing to do."},
	{RolloutOrdered, "rollout-ordered", Info, "An operator ordered that a service moves to another version of its replicas, or cancelled the order (target empty). Its next stage follows."},
	{RolloutStage, "rollout-stage", Info, "This node applies another stage of a service's roll-out: trial (a small share of the requests), moving (all new work; running requests move too), completed, or rolled-back for the reason given."},
	{RolloutJudged, "rollout-judged", Warning, "A new version answers worse than the old one, by this node's own answers or another node's report, and gets no more requests from this node; the route, the evidence and the numbers of answers are given. Check the new version."},
	{RolloutHeld, "rollout-held", Warning, "The trial of a new version is over but can't yet be ended in its favour, for the reason given. If it goes on, the version is rolled back when the order's time is over."},
	{RolloutNotWritten, "rollout-not-written", Warning, "The next stage of a roll-out could not be written to the store, or another node wrote a stage first. It is retried soon. Check the store if it goes on."},
	{HoldNotStored, "hold-not-stored", Warning, "The quarantine of a request could not be written to the store, or removed from it, and is retried. Routers that start meanwhile receive it from other routers only. Check the store if it goes on."},
	{ReplicasWithdrawn, "replicas-withdrawn", Info, "Replicas of large services left the sample that all nodes know. This node sends them no more work; what runs there goes on. Nothing to do."},
	{SamplePlanWritten, "sample-plan-written", Info, "This node has decided which replicas of large services all nodes know: of a service with n halvings, one replica in 2^n. Nothing to do."},
	{StoreItemRewritten, "store-item-rewritten", Info, "This node wrote again what the store has lost since it came back from a copy, over the given older revision; written is false if another node was first. Nothing to do."},
	{StoreLost, "store-lost", Warning, "The platform's store does not answer this node; the last configuration and replicas stay in force. Check the store if it goes on."},
	{StoreRegained, "store-regained", Info, "The store answers again. Nothing to do."},
	{StoreHistoryLost, "store-history-lost", Info, "The store no longer has the changes that this node has not seen; everything is read again. Nothing to do."},
	{StoreFromPeer, "store-from-peer", Info, "Another node had newer changes of the store, which are now in force here. Nothing to do."},
	{StoreItemFailed, "store-item-failed", Error, "Processing a store item caused a panic and the item was skipped; everything else is in force. Report it with the stack that is given, and find out which program wrote the item."},
	{StoreBulkLeft, "store-bulk-left", Info, "This node has read the configuration and the nodes from the store, and gets the replicas, of which there are many, from its neighbours. If it is not ready within 20 s, check its links to other nodes."},
	{StoreFilterUnreadable, "store-filter-unreadable", Warning, "The store's item that says which replicas the nodes know can't be read, and the one before it stays in force. Find out which program wrote the item."},
	{StoreWentBack, "store-went-back", Warning, "The store has come back from an older copy of its data (era, at), and has lost changes that this node knows. This node keeps what it knows until its owners have written it again. Tell the platform's operators if it was not a drill."},
	{StoreItemKept, "store-item-kept", Info, "The store that came back lacks an item, or lists it in an older version or although it had been removed. What this node knows counts until the item is written again, or for the time in which that is due. Nothing to do."},
	{LossExamined, "loss-examined", Info, "An attempt was lost, and its backend server was examined: found is whether it has exited, and alone whether others of its failure domain still work. Lines with one digest are of one request and its repeats. Backend servers that exited on their own, again and again under one digest, were crashed by that request."},
	{CrashCounted, "crash-counted", Warning, "A backend server exited on its own, early in the run of a request, and that counts against the request; from is the router that observed it. Nothing to do unless request-quarantined follows."},
	{RequestHeld, "request-quarantined", Error, "Backend servers crashed again and again under one request, as observed here or reported by another router or the store (from). It is refused for an hour, or until an operator lifts the quarantine; its clients get a final answer at once. Find what in the request crashes the backend servers, by its digest, account and the crashes."},
	{RequestCleared, "request-cleared", Info, "A request under which backend servers had crashed got a complete answer, so that the crashes no longer count against it. Nothing to do."},
	{RequestLifted, "request-lifted", Warning, "The quarantine of a request was lifted by an operator, another router or the store; the request is sent again. Nothing to do."},
	{PartCrashCounted, "part-crash-counted", Warning, "A backend server exited on its own, early in the run of a request, and that counts against the parts of its prompt that other requests may share (the first eight are named); digest is the request, requests how many requests were known to run there, pending for how many of the parts a decision is due. Nothing to do unless prompt-part-quarantined follows."},
	{PartHeld, "prompt-part-quarantined", Error, "Backend servers crashed again and again under different requests with one part in their prompts, as observed here or reported by another router or the store (from). Several parts are named if nothing tells them apart yet. Requests with such a part, of the accounts and models named (all, if there are two or more), are refused for an hour, or until an operator lifts the quarantine. Find out what in the part crashes the backend servers; it is in the requests that part-crash-counted names."},
	{PartCleared, "prompt-part-cleared", Info, "A run with a suspected part of a prompt was answered or outlived its beginning, or a quarantined part explains the crashes (beside), so that earlier crashes no longer count against it. Nothing to do."},
	{PartLifted, "prompt-part-lifted", Warning, "The quarantine of a part of prompts was lifted by an operator, another router or the store; requests with it are sent again. Nothing to do."},
	{PartTrialLost, "prompt-part-trial-lost", Info, "A backend server exited during a trial of a quarantined part, a request whose result decides on it. If another part or the request itself may be the cause (other_cause), the crash doesn't count; go_on tells whether more trials are sent. Nothing to do."},
	{LimitBegun, "limit-begun", Warning, "A backend server states how many requests a second it takes from all routers together (limit), in an answer to this router or, if from is set, to that router. A few routers divide the limit, the others send it nothing. Find out why the backend server is in need."},
	{LimitChanged, "limit-changed", Info, "A backend server states another limit than before. Nothing to do."},
	{LimitEnded, "limit-ended", Info, "A backend server states no limit any more and gets its full share of requests. Nothing to do."},
	{RequestWithheld, "request-withheld", Warning, "All backend servers of the service ask for fewer requests, and the request waits or is refused; the client's time to come back is given. The state dump lists what each backend server asks. If it goes on, the service needs more backend servers."},
	{RestBegun, "rest-begun", Warning, "A backend server refused a request and asked this router for rest (Retry-After); it gets none of this router's requests for so long, ten minutes at most. If it goes on, the service needs more backend servers."},
	{RestEnded, "rest-ended", Info, "A backend server has answered the first request after its rest and gets requests again. Nothing to do."},
	{BrittleBegun, "brittle-begun", Warning, "The backend servers of a service say that one of them falls over if it refuses more than the given number of requests within a second. Their slots are divided among the routers until they no longer say so. Find out why they are in need."},
	{BrittleEnded, "brittle-ended", Info, "The backend servers of a service are no longer brittle, or no answer of them has come for some time. Nothing to do."},
	{BrittleRefused, "brittle-refused", Warning, "A brittle backend server refused a request of this router or, if from is set, of that router for want of room. Nothing is sent to it for half a second, and only the given share of its slots is used after that. If it goes on, the service needs more backend servers."},
	{CutOffBegun, "cut-off-begun", Warning, "No connection to a sample of a service's backend servers opens, after connections to several of them failed (failed, of known). This router passes the service's requests on to other routers, and probes backend servers until a connection opens. If other routers report the same, the backend servers are down; else check this VM's network."},
	{CutOffEnded, "cut-off-ended", Info, "A connection to a backend server of the service opened again, and this router sends requests to the service itself. Nothing to do."},
	{PeerCutOff, "peer-cut-off", Info, "Another router reports that it is cut off from services; no requests are passed on to it, and what it reports of failure domains is ignored. Check its network."},
	{PeerCutOffEnded, "peer-cut-off-ended", Info, "Another router reports that it reaches all services again, or is not heard any more. Nothing to do."},
	{RequestPassedOn, "request-passed-on", Info, "This router is cut off from the service, and another router (to) runs the request from the given token or chunk on. That router's log has its attempts, under the same request id."},
	{RequestTakenOver, "request-taken-over", Info, "A request that another router passed on has ended here, with the outcome given. Nothing to do."},
	{RequestNotTaken, "request-not-taken", Warning, "Another router did not take a request that was passed on to it; the next one is asked, or the caller is told when to come back. If it goes on, too many routers are cut off for the rest."},
	{SoftwareVersions, "software-versions", Info, "A service has, or recently had, the software versions listed. While there are several, a stream goes on only at the version that began it."},
	{StreamBegan, "stream-began", Info, "The first chunk of a stream is passed to its client, from a backend server of the version given; the stream is bound to this version. Written while the service has several versions."},
	{StreamVersionFound, "stream-version-found", Info, "A client takes a stream up that began as another attempt, at the version given. The source is a record of this router, of another router, or the list of backend servers if the service has one version; age is that of the record or of the list."},
	{StreamVersionUnknown, "stream-version-unknown", Warning, "A client takes a stream up, the service has several software versions, and no router that was reached knows which of them began the stream; the request is refused as not-run. Find stream-began of the attempt that the line names; many lines without a restart of routers show that routers do not reach each other."},
	{StreamVersionGone, "stream-version-gone", Warning, "A stream can't go on, since no backend server runs the version that began it any more, or that version was rolled back. Nothing to do, unless versions are replaced faster than streams end."},
	{VersionNotStored, "version-not-stored", Warning, "The note that a service has several software versions could not be written to the store or removed from it; it is tried again. Until then, a router that starts may refuse streams that it could continue."},
}
