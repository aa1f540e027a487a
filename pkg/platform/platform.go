// Package platform defines the services that lilacweir requires of its platform, as
// small interfaces. Adapters are in sub-packages; a second platform takes one adapter.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that every adapter maps its own onto. Test with errors.Is.
var (
	// ErrUnavailable means that the service did not answer or refused for now. A
	// write may or may not have taken effect.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrConflict means that a compare-and-swap failed and nothing was written.
	ErrConflict = errors.New("compare-and-swap conflict")
	// ErrCompacted means that a watch requested history that the service no longer has.
	ErrCompacted = errors.New("revision compacted")
	// ErrLeaseLost means that the lease has expired or was revoked.
	ErrLeaseLost = errors.New("lease lost")
)

// Error is a failed call of a platform service.
type Error struct {
	// Service and Call name the call, for example "key-value" and "txn".
	Service, Call string
	// Err is one of the errors of this package, possibly wrapped with a cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Service, e.Call, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KeyValue is the platform's key-value service. Every call counts against the
// service's rate limit, an open watch as one call. Values are at most a megabyte.
type KeyValue interface {
	// Get returns the entry of a key. If there is none, ok is false.
	Get(ctx context.Context, key string) (entry Entry, ok bool, err error)
	// Range returns at most limit entries of a prefix in key order, all of them if
	// limit is 0, and whether there were more.
	Range(ctx context.Context, prefix string, limit int) (entries []Entry, more bool, err error)
	// Swap writes all puts if every key's modification revision is as expected (0
	// for an absent key), and returns the service's revision of the write. Otherwise
	// it returns ErrConflict. After ErrUnavailable the write may have taken effect.
	Swap(ctx context.Context, expect map[string]int64, puts []Put) (int64, error)
	// Watch sends the key's changes after the given revision. The channel is closed
	// when ctx ends or the stream breaks.
	Watch(ctx context.Context, key string, after int64) (<-chan Entry, error)
	Leaser
}

// Leaser manages leases. Keys attached to a lease are deleted when it ends.
type Leaser interface {
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its new time to live, or
	// ErrLeaseLost if it has ended.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease.
	Revoke(ctx context.Context, lease LeaseID) error
}

// PrefixReader lists all keys of a prefix and follows their changes. A waiting call
// of Changes counts as one call.
type PrefixReader interface {
	// List returns a page of the entries of a prefix whose keys come after the key
	// after, in key order. The service chooses the page size. Pages are not one
	// snapshot, so follow the changes after the first page's revision.
	List(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits at most wait for changes of a prefix's keys after a revision and
	// returns them, or ErrCompacted if that history is no longer available.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// Page is one page of a listing.
type Page struct {
	Entries []Entry
	// Revision is the service's revision when it answered.
	Revision int64
	// Era is the service's epoch when it answered; see Entry.
	Era uint64
	// More reports whether there are further entries after these.
	More bool
}

// Changes are the changes of a prefix's keys, in order.
type Changes struct {
	Entries []Change
	// Revision is the revision to continue from.
	Revision int64
	// Era is the service's epoch when it answered; see Entry.
	Era uint64
}

// Change is one write, or a deletion without a value if Removed is set.
type Change struct {
	Entry
	Removed bool
}

// LeaseID identifies a lease.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the service's revision of the last write to the key. It
	// grows with every write and serves as a fencing token.
	ModRevision int64
	// CreateRevision is the service's revision of the key's creation.
	CreateRevision int64
	// Era is the service's epoch when the entry was read. A restore from a backup begins a new
	// epoch: writes and leases acknowledged since the backup are lost and revisions are assigned
	// again, so those of two epochs cannot be compared. It increases with each restore and is 0
	// if the service does not report it.
	Era uint64
}

// Put is one write. A key with a Lease is deleted when the lease ends. Delete deletes the key.
type Put struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// DirectoryEntry is the directory's entry of one entry instance, for clients.
type DirectoryEntry struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	// Address serves callers over HTTP.
	Address string `json:"address"`
}

// Directory is the platform's directory for clients.
type Directory interface {
	// Register creates an entry that expires after ttl, or renews it.
	Register(ctx context.Context, entry DirectoryEntry, ttl time.Duration) error
	// Deregister deletes an instance's entry.
	Deregister(ctx context.Context, instance string) error
	// Lookup returns all entries.
	Lookup(ctx context.Context) ([]DirectoryEntry, error)
}

// ListedInstance is an item of the instance list.
type ListedInstance struct {
	// Name is the name of an entry instance or of an upstream.
	Name string `json:"name"`
	// Leaving reports whether the machine is about to be removed.
	Leaving bool `json:"leaving"`
	// Mesh is the agent address of an entry instance, empty for upstreams.
	Mesh string `json:"mesh,omitempty"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
}

// InstanceList is the platform's list of live and leaving entry instances and
// upstreams. It lags behind, so its entries are only hints.
type InstanceList interface {
	// List returns the current list of a domain, which may be seconds old.
	List(ctx context.Context, domain string) ([]ListedInstance, error)
}

// WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Reserve requests permission to read a version's weights now. If the store is
	// busy, it reserves nothing and returns the time to wait before a retry.
	Reserve(ctx context.Context, model, version string) (wait time.Duration, err error)
}
