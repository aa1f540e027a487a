// Package event defines the names of the events that lilacweir-edge logs and the keys of their
// fields. Code that writes lines and code that parses them share these constants.
//
// docs/OPERATIONS.md lists them for operators.
package event

// Name is the name of an event, the value of the key "event" in a line.
type Name string

// Events of the process.
const (
	// Start is logged when the instance begins to serve.
	Start Name = "start"
	// SettingsReloaded is logged when the settings file was reloaded. Only the log level is
	// applied; all other settings stay as they were at the start.
	SettingsReloaded Name = "settings-reloaded"
	// SettingsRejected is logged when the settings cannot be read; nothing changes.
	SettingsRejected Name = "settings-rejected"
	// Leaving is logged when the instance received the signal to shut down.
	Leaving Name = "leaving"
	// RequestsCutOff is logged when requests were still running at the end of the grace period.
	RequestsCutOff Name = "requests-cut-off"
	// Stop is logged when the instance has shut down.
	Stop Name = "stop"
	// LinesLeftOut is logged when lines were dropped, over budget or for a stalled reader.
	LinesLeftOut Name = "lines-left-out"
)

// Events of entries and configurations that the instance reads from the store.
const (
	ConfigurationInForce  Name = "configuration-in-force"
	ConfigurationRejected Name = "configuration-rejected"
	// ConfigurationOlder is logged when the store holds a configuration older than the one in
	// force, which stays in force.
	ConfigurationOlder Name = "configuration-older"
	UpstreamChanged    Name = "upstream-changed"
	UpstreamGone       Name = "upstream-gone"
	// EntryRejected is logged when an entry of the store cannot be decoded.
	EntryRejected Name = "entry-rejected"
	// EntryLapsed is logged when an entry is missing after an outage of the store. The
	// instance retains it for a time.
	EntryLapsed Name = "entry-lapsed"
	// EntryGone is logged when the retention of such an entry ends.
	EntryGone Name = "entry-gone"
)

// Events of dependencies.
const (
	StoreReached  Name = "store-reached"
	StoreLost     Name = "store-lost"
	StoreRegained Name = "store-regained"
	// StoreFollowed is logged when the local replica begins to follow a restored store.
	StoreFollowed Name = "store-followed"
	// StoreRestored is logged when the store was restored from a backup, with a lower revision.
	// EntriesLeftOut counts changes from it that were ignored as no newer than the replica.
	StoreRestored  Name = "store-restored"
	EntriesLeftOut Name = "entries-left-out"
	// StoreHistoryGone is logged when changes were missed and all entries are read again.
	StoreHistoryGone Name = "store-history-gone"
	// StoreHistoryMissed is logged when deletions before a revision are unknown. Upstreams are
	// probed whether they are cold.
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
	// CopyAdopted is logged when changes of the store were accepted from another instance.
	CopyAdopted Name = "copy-adopted"
	CopyFailed  Name = "copy-failed"
	// SumsRejected is logged when a hub reported the load of the others in a form that was not
	// requested.
	SumsRejected Name = "sums-rejected"
	// UpstreamEjected is logged when an upstream failed too often and gets no requests for a while.
	UpstreamEjected Name = "upstream-ejected"
	// UpstreamReborn is logged when an upstream reports a restart that its entry does not show yet.
	UpstreamReborn Name = "upstream-reborn"
	// UpstreamCold is logged when an upstream replies to a probe that it is cold and its entry
	// does not show it.
	UpstreamCold Name = "upstream-cold"
	// UpstreamSilent is logged when a status query for an upstream's start time and cold state
	// failed.
	UpstreamSilent Name = "upstream-silent"
	// UpstreamDark is logged when an engine is unresponsive: no instance receives data on any of
	// its streams. It gets no requests for a while, and resumable streams move to other engines.
	UpstreamDark Name = "upstream-dark"
	// UpstreamEnded is logged when answers of an upstream broke off and its address refuses
	// connections.
	UpstreamEnded Name = "upstream-ended"
	// RequestQuarantined is logged when upstreams crashed one after the other while running a
	// request, which is refused from then on. RequestCleared is logged when a suspected request
	// completed.
	RequestQuarantined Name = "request-quarantined"
	RequestCleared     Name = "request-cleared"
	// QuarantineNotKept is logged when a quarantine or its end could not be written to the store.
	QuarantineNotKept Name = "quarantine-not-kept"
	// UpstreamLimited is logged when an upstream advertises a new limit in requests a second,
	// UpstreamUnlimited when it no longer advertises one, and UpstreamLimitOdd when the limit is
	// not a number and the previous one stays in force.
	UpstreamLimited   Name = "upstream-limited"
	UpstreamUnlimited Name = "upstream-unlimited"
	UpstreamLimitOdd  Name = "upstream-limit-odd"
	// UpstreamLeaving is logged when an upstream reported in an answer that it is leaving.
	UpstreamLeaving Name = "upstream-leaving"
	// UpstreamResting is logged when an upstream rejected a request and requested a backoff of
	// this instance.
	UpstreamResting Name = "upstream-resting"
	// UpstreamRestored is logged when an ejected upstream answered its probe.
	UpstreamRestored Name = "upstream-restored"
)

// Events of single requests.
const (
	// RequestRouted records the next target of a request and the inputs of the choice.
	RequestRouted Name = "request-routed"
	// AttemptRejected is logged when the upstream states that it did not run the request.
	AttemptRejected Name = "attempt-rejected"
	// AttemptFailed is logged when a send got no complete answer.
	AttemptFailed Name = "attempt-failed"
	// AnswerOdd is logged when an answer cannot be passed on.
	AnswerOdd Name = "answer-odd"
	// RefusalTooLong is logged when the body of a refusal was not read to its end.
	RefusalTooLong Name = "refusal-too-long"
	// RequestFailed is logged when a request ended with an outcome other than complete.
	RequestFailed Name = "request-failed"
	// RequestEnded is logged when a request ended with the outcome complete.
	RequestEnded Name = "request-ended"
)
