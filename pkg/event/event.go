// Package event defines the names of lilacweir-edge's log events and the keys of their fields,
// for code that writes log lines and code that parses them.
//
// docs/OPERATIONS.md lists them for operators.
package event

// Name is the name of an event, the value of the key "event" in a line.
type Name string

// Events of the process.
const (
	// Start means that the instance begins to serve.
	Start Name = "start"
	// SettingsReloaded means that the settings file was read again. Only the log level is
	// applied; all else stays as it was at the start.
	SettingsReloaded Name = "settings-reloaded"
	// SettingsRejected means that the settings cannot be read; nothing changes.
	SettingsRejected Name = "settings-rejected"
	// ClockStepped means that the time of day has moved against the monotonic clock: it was set, or the
	// machine was suspended. Times in lines before and after cannot be compared.
	ClockStepped Name = "clock-stepped"
	// Leaving means that the instance was signalled to shut down.
	Leaving Name = "leaving"
	// RequestsCutOff means that requests still ran at the end of the grace period.
	RequestsCutOff Name = "requests-cut-off"
	// Stop means that the instance has shut down.
	Stop Name = "stop"
	// ClientClosed means that a client's connection was closed outside a request: it was too slow, or others
	// needed what it held.
	ClientClosed Name = "client-closed"
	// ClientRefused means that a request was refused since its body was not read whole: it was too slow or too
	// large, or there was no memory for it.
	ClientRefused Name = "client-refused"
	// LinesLeftOut counts lines dropped over budget or for a stalled reader.
	LinesLeftOut Name = "lines-left-out"
)

// Events of what the instance reads from the store.
const (
	ConfigurationInForce  Name = "configuration-in-force"
	ConfigurationRejected Name = "configuration-rejected"
	// ConfigurationOlder means that the store holds an older one than that in force, which stays.
	ConfigurationOlder Name = "configuration-older"
	UpstreamChanged    Name = "upstream-changed"
	UpstreamGone       Name = "upstream-gone"
	// EntryRejected means that an entry of the store cannot be decoded.
	EntryRejected Name = "entry-rejected"
	// EntryOverruled means that an entry was written after a newer state of it, or after the deletion
	// of one, and is ignored for a while.
	EntryOverruled Name = "entry-overruled"
	// EntryLapsed means that an entry is missing after a store outage and is retained.
	EntryLapsed Name = "entry-lapsed"
	// EntryGone means that the retention of a lapsed entry is over.
	EntryGone Name = "entry-gone"
)

// Events of dependencies.
const (
	StoreReached  Name = "store-reached"
	StoreLost     Name = "store-lost"
	StoreRegained Name = "store-regained"
	// StoreWatching means that the instance begins or ceases to follow the store itself, and why, or that
	// it begins or ceases to be behind.
	StoreWatching Name = "store-watching"
	// StoreFollowed means that the local replica begins to follow a restored store.
	StoreFollowed Name = "store-followed"
	// StoreRestored means that the store was restored from a backup, with a lower revision.
	// EntriesLeftOut counts its changes that were ignored as no newer than the replica.
	StoreRestored  Name = "store-restored"
	EntriesLeftOut Name = "entries-left-out"
	// StoreHistoryGone means that changes were missed; all entries are read again.
	StoreHistoryGone Name = "store-history-gone"
	// StoreNotReplayed means that the store has discarded changes that would show whether entries are
	// the last states of their keys; another instance is asked.
	StoreNotReplayed Name = "store-not-replayed"
	// IntroductionAwaited means that the instance serves no request before another one has told what the
	// store's lost history would show, or a second has passed.
	IntroductionAwaited Name = "introduction-awaited"
	// StoreHistoryMissed means that entries created and deleted before a revision are unknown;
	// upstreams are probed whether they are cold.
	StoreHistoryMissed   Name = "store-history-missed"
	Registered           Name = "registered"
	RegistrationLost     Name = "registration-lost"
	RegistrationFailed   Name = "registration-failed"
	RegistrationTaken    Name = "registration-taken-away"
	DeregistrationFailed Name = "deregistration-failed"
	PeerFound            Name = "peer-found"
	PeerLeaving          Name = "peer-leaving"
	PeerLost             Name = "peer-lost"
	DomainHeard          Name = "domain-heard"
	// CopyAdopted means that changes of the store came from another instance.
	CopyAdopted Name = "copy-adopted"
	CopyFailed  Name = "copy-failed"
	// SumsRejected means that a hub reported load in a form that was not requested.
	SumsRejected Name = "sums-rejected"
	// WarmthRejected means that another instance told of upstreams' cold states in a form that is not known.
	WarmthRejected Name = "warmth-rejected"
	// UpstreamEjected means that an upstream failed too often and gets no requests for a while.
	UpstreamEjected Name = "upstream-ejected"
	// UpstreamReborn means that an upstream reports a restart that its entry does not show yet.
	UpstreamReborn Name = "upstream-reborn"
	// UpstreamCold means that an upstream that counted as warm is cold.
	UpstreamCold Name = "upstream-cold"
	// ColdShareExceeded means that an upstream that is known to be cold got more requests than this
	// instance may send it.
	ColdShareExceeded Name = "cold-share-exceeded"
	// UpstreamSilent means that a query for an upstream's start time and cold state failed.
	UpstreamSilent Name = "upstream-silent"
	// UpstreamDark means that no instance receives data on any stream of an engine. It gets no
	// requests for a while, and its stalled requests are hedged where that is permitted.
	UpstreamDark Name = "upstream-dark"
	// UpstreamResponsive means that an unresponsive engine has delivered data again.
	UpstreamResponsive Name = "upstream-responsive"
	// UpstreamEnded means that answers broke off and the upstream's address refuses connections.
	UpstreamEnded Name = "upstream-ended"
	// UpstreamFell means that an upstream which is brittle ended since it had to reject requests, or
	// had no room left. That is no evidence against the requests that it ran.
	UpstreamFell Name = "upstream-fell"
	// RequestQuarantined means that upstreams crashed one after the other while running a
	// request, which is refused from then on. RequestCleared means that a suspected one completed.
	RequestQuarantined Name = "request-quarantined"
	RequestCleared     Name = "request-cleared"
	// SegmentQuarantined means that upstreams crashed one after the other while running requests
	// that hold one prompt segment. Such requests are refused from then on.
	SegmentQuarantined Name = "segment-quarantined"
	// QuarantineNotKept means that a quarantine or its end could not be stored.
	QuarantineNotKept Name = "quarantine-not-kept"
	// UpstreamLimited means that an upstream advertises a new limit in requests a second,
	// UpstreamUnlimited that it no longer advertises one, and UpstreamLimitOdd that the limit is
	// not a number and the previous one stays in force.
	UpstreamLimited   Name = "upstream-limited"
	UpstreamUnlimited Name = "upstream-unlimited"
	UpstreamLimitOdd  Name = "upstream-limit-odd"
	// UpstreamBrittle means that an upstream advertises that it crashes when it rejects more than a
	// number of requests in a second, and UpstreamSturdy that it no longer does.
	UpstreamBrittle Name = "upstream-brittle"
	UpstreamSturdy  Name = "upstream-sturdy"
	// RetryBudgetUsed records the retries at a service since the last such line, and the state of
	// the budget.
	RetryBudgetUsed Name = "retry-budget-used"
	// PathLost means that no connection to an upstream can be made from this instance, and
	// PathRestored that one was made again.
	PathLost     Name = "path-lost"
	PathRestored Name = "path-restored"
	// UpstreamLeaving means that an upstream reported in an answer that it is leaving.
	UpstreamLeaving Name = "upstream-leaving"
	// UpstreamResting means that an upstream rejected a request and requested a backoff.
	UpstreamResting Name = "upstream-resting"
	// UpstreamRestored means that an ejected upstream answered its probe.
	UpstreamRestored Name = "upstream-restored"
)

// Events of single requests.
const (
	// StreamOrigin records which software version began the stream that a caller takes up, and
	// how that is known.
	StreamOrigin Name = "stream-origin"
	// OriginsNotSent means that an instance could not be sent records of streams (debug).
	OriginsNotSent Name = "origins-not-sent"
	// RequestRouted records the next target of a request and the inputs of the choice.
	RequestRouted Name = "request-routed"
	// AttemptRejected means that the upstream states that it did not run the request.
	AttemptRejected Name = "attempt-rejected"
	// RequestHedged records that a request is also sent to another target, since the upstream of
	// its attempt is silent.
	RequestHedged Name = "request-hedged"
	// AttemptOvertaken means that an attempt was cancelled because another one delivers the answer.
	AttemptOvertaken Name = "attempt-overtaken"
	// AttemptFailed is a send without a complete answer.
	AttemptFailed Name = "attempt-failed"
	// AnswerUnframed is an answer that ended with its connection: it had neither a length nor
	// chunks.
	AnswerUnframed Name = "answer-unframed"
	// AnswerOdd is an answer that cannot be passed on.
	AnswerOdd Name = "answer-odd"
	// RefusalTooLong means that a refusal's body was not read to its end.
	RefusalTooLong Name = "refusal-too-long"
	// RequestFailed is the end of a request with an outcome other than complete.
	RequestFailed Name = "request-failed"
	// RequestEnded is the end of a request with the outcome complete.
	RequestEnded Name = "request-ended"
)
