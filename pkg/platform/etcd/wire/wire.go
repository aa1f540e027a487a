// Package wire defines the JSON messages of etcd's v3 API that lilacweir uses, as
// published for its HTTP gateway. Keys and values are in base64, 64-bit integers are
// strings, and absent fields mean zero.
package wire

// Paths of the API. Every call is a POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathWatch     = "/v3/watch"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"

	PathAuthenticate = "/v3/auth/authenticate"
)

// Values of Compare and of Event.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
	EventDelete = "DELETE"
)

// gRPC status codes in ErrorResponse.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
	CodeUnauthenticated   = 16
)

// Messages that distinguish failures with the same code.
const (
	MessageInvalidToken    = "etcdserver: invalid auth token"
	MessageAuthFailed      = "etcdserver: authentication failed, invalid user ID or password"
	MessageOldAuthRevision = "etcdserver: revision of auth store is old"
)

// Header accompanies every response.
type Header struct {
	// Revision is the store's revision when the call was applied.
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one stored key.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads keys from Key up to RangeEnd, or Key alone.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	// KeysOnly omits the values from the response.
	KeysOnly bool `json:"keys_only,omitempty"`
}

// RangeResponse is the response to RangeRequest, in key order.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success if every Compare holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse reports whether the comparisons held.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate defines the key to watch and the first revision.
type WatchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchMessage is one line of a watch's stream. One field is set.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// StreamError ends a stream.
type StreamError struct {
	GRPCCode int    `json:"grpc_code,omitempty"`
	Message  string `json:"message,omitempty"`
}

// WatchResponse carries events, or reports that the watch was created or cancelled.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is one change of a key. An empty Type is a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// GrantRequest requests a lease of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseRequest names a lease, for keepalive and revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse is the response to grant and keepalive. A TTL of zero means that the
// lease has ended.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveMessage is one line of the keepalive stream.
type KeepAliveMessage struct {
	Result *LeaseResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// AuthenticateRequest requests a token, which calls then carry in the header
// Authorization without a scheme.
type AuthenticateRequest struct {
	Name     string `json:"name"`
	Password string `json:"password"`
}

// AuthenticateResponse carries the token.
type AuthenticateResponse struct {
	Header Header `json:"header"`
	Token  string `json:"token,omitempty"`
}

// ErrorResponse is the body of every response with a status other than 200.
type ErrorResponse struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the RangeEnd that covers all keys beginning with prefix.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
