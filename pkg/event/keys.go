package event

// Keys that the logger itself writes.
const (
	KeyTime     = "time"
	KeyLevel    = "level"
	KeyEvent    = "event"
	KeyProgram  = "program"
	KeyInstance = "instance"
	KeyError    = "error"
)

// Keys of fields. Times whose keys end in "_ms" are in milliseconds.
const (
	KeyActive        = "active"      // requests in flight
	KeyAfter         = "after"       // ID of the last stream event that the caller has
	KeyAgeMS         = "age_ms"      // time since the process started
	KeyAt            = "at"          // time of the event, on a line that was written later
	KeyBegan         = "began"       // when an upstream started, Unix milliseconds by its clock
	KeyBegun         = "begun"       // whether the caller already has a part of the answer
	KeyBackingOff    = "backing_off" // regions that back off after a refusal for lack of capacity
	KeyBalance       = "balance"     // remaining balance of an organisation, in units of its limit
	KeyBrittle       = "brittle"     // whether an upstream is known to crash when it rejects too many requests
	KeyBehind        = "behind"      // whether the store answers others and not this instance
	KeyByMS          = "by_ms"       // by how much the time of day has moved
	KeyBytes         = "bytes"
	KeyCallers       = "callers"   // address that serves callers over HTTP
	KeyCause         = "cause"     // the error that led to a refusal
	KeyCold          = "cold"      // number of cold upstreams, or whether an upstream is cold
	KeyCopy          = "copy"      // whether cached blocks are fetched from another upstream
	KeyCost          = "cost"      // cost of the chosen upstream, for engines in prompt tokens
	KeyDetail        = "detail"    // one sentence
	KeyOperator      = "operator"  // operator who issued the command
	KeyContent       = "content"   // fingerprint of the request's content, the same in each try of its caller, or of a prompt segment
	KeyCompleted     = "completed" // requests with a prompt segment that completed since the first crash under it
	KeyCrashes       = "crashes"   // upstreams that crashed while running requests with a prompt segment
	KeyCrowded       = "crowded"   // upstreams with divided room where this instance has no free place
	KeyDemand        = "demand"    // demand of an organisation in all regions, in units a second
	KeyDomain        = "domain"    // failure domain
	KeyDraining      = "draining"
	KeyEra           = "era"       // number of restores of the store from a backup
	KeyFailed        = "failed"    // number of lines about failures
	KeyFailures      = "failures"  // number of consecutive failures
	KeyEntries       = "entries"   // number of entries of the store
	KeyFirst         = "first"     // ID of the attempt that began a stream
	KeyFirstMS       = "first_ms"  // time to the first part of the answer
	KeyForMS         = "for_ms"    // duration
	KeyForwarded     = "forwarded" // whether another instance sent the request here
	KeyGood          = "good"      // number of lines about successful requests
	KeyHeard         = "heard"     // share of the instances that report their use of a limit
	KeyHeardMS       = "heard_ms"  // age of the last report from the target
	KeyInFlight      = "in_flight" // requests in flight at the target
	KeyInstances     = "instances"
	KeyKey           = "key"            // key in the store
	KeyKnown         = "known"          // upstreams of the service in the region
	KeyKnownAgeMS    = "known_age_ms"   // time since which the store may have confirmed more than is known
	KeyKnownRevision = "known_revision" // revision of the local replica of the store
	KeyLast          = "last"           // error of the last attempt
	KeyLateness      = "lateness"       // ratio of the actual to the predicted time until answers begin
	KeyLimit         = "limit"          // limit of an organisation, in units a second, or of an upstream, in requests
	KeyLimited       = "limited"        // upstreams at their advertised limits for this instance
	KeyLogLevel      = "log_level"      // minimum level of lines that are written
	KeyLeftOut       = "left_out"       // lines like this one that were left out before it
	KeyLeft          = "left"           // what remains of a budget
	KeyLeftMS        = "left_ms"        // time left until the deadline
	KeyMS            = "ms"             // time since the request arrived
	KeyNew           = "new"            // whether the upstream was unknown before
	KeyOrganisation  = "organisation"   // owner of the request
	KeyOutcome       = "outcome"
	KeyOwn           = "own"          // this instance's requests in flight at the target
	KeyPart          = "part"         // ID of the prompt's last shared segment
	KeySegments      = "segments"     // IDs of the prompt's shared segments, with the number of requests that hold them after a crash
	KeyPeer          = "peer"         // name of an instance
	KeyPeers         = "peers"        // address that serves other instances
	KeyMissing       = "missing"      // whether a retained entry is missing in the store
	KeyPlaces        = "places"       // this instance's places at upstreams with divided room
	KeyPrefill       = "prefill"      // prompt tokens to prefill at the target before this request
	KeyPredictedMS   = "predicted_ms" // predicted time until the answer begins at the target
	KeyPresent       = "present"      // version of the configuration in force
	KeyProblem       = "problem"
	KeyPrompt        = "prompt"         // the request's prompt tokens
	KeyReaderStalled = "reader_stalled" // number of lines dropped for a stalled reader
	KeyPort          = "port"           // listener: callers, peers, directory, health, metrics, operators
	KeyReaches       = "reaches"        // whether the store answers this instance
	KeyReason        = "reason"         // reason of a refusal, or for following the store
	KeyReclaimed     = "reclaimed"      // whether an upstream ends at a given time, in the middle of its work
	KeyRegion        = "region"
	KeyRequest       = "request"  // the request's ID
	KeyRequests      = "requests" // number of requests
	KeyRefused       = "refused"  // number of refusals
	KeyRetries       = "retries"  // number of retries
	KeyResting       = "resting"  // upstreams ejected or backing off
	KeyRetryMS       = "retry_ms" // retry delay sent to the caller
	KeyUsed          = "used"     // what was admitted lately of an organisation's requests
	KeyRevision      = "revision" // revision of the store
	KeyRoute         = "route"
	KeyRoutes        = "routes" // number of routes
	KeyRuns          = "runs"   // attempts after which the request may have run
	KeySend          = "send"   // number of this send, from 1
	KeySends         = "sends"  // number of sends of the request
	KeyService       = "service"
	KeyShare         = "share"        // fair share of an organisation of what was admitted lately
	KeySlots         = "slots"        // total concurrency of the usable upstreams
	KeyAsked         = "asked"        // number of instances that were asked
	KeySource        = "source"       // how something is known
	KeySoftware      = "software"     // version of an upstream's software
	KeyStatus        = "status"       // HTTP status
	KeySteps         = "steps"        // number of lines about steps of failed or slow requests
	KeyStoreAgeMS    = "store_age_ms" // time since the last answer of the store
	KeyTaken         = "taken"        // number of grants
	KeyTarget        = "target"       // an upstream's ID or an instance's name
	KeyTolerance     = "tolerance"    // rejections a second that a brittle upstream bears
	KeyUncached      = "uncached"     // the request's prompt tokens that the target has to prefill
	KeyUnreachable   = "unreachable"  // upstreams to which no connection can be made
	KeyUnresponsive  = "unresponsive" // upstreams that deliver no data
	KeyUnsent        = "unsent"       // whether no byte of the request was sent
	KeyUpstream      = "upstream"
	// KeySilent and KeySilentElsewhere count the stalled streams of an engine at this instance
	// and at the others. KeyStalled counts the requests of this instance that may be hedged.
	KeySilent          = "silent"
	KeySilentElsewhere = "silent_elsewhere"
	KeyStalled         = "stalled"
	// KeyEndedBy says who ended an attempt without a complete answer.
	KeyEndedBy = "ended_by"
	KeyUsable  = "usable"  // number of upstreams that accept requests
	KeyVersion = "version" // version of the configuration
	KeyYielded = "yielded" // whether the request leaves its slot to requests that are bound to the region
)
