// Package spread brings the accepted configuration to one instance: from the platform's
// watch, from other instances and from the own gateway.
//
// Guarantee: the revision of the stored configuration never decreases, whatever the order
// in which heads arrive.
package spread

import (
	"sync"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Source is where a head came from, for logs and counters.
type Source string

// Sources of a head.
const (
	SourcePlatform Source = "platform"
	SourceMesh     Source = "mesh"
	SourceDomain   Source = "domain"
	SourceGateway  Source = "gateway"
	// SourceChange is a change that this instance made itself.
	SourceChange Source = "change"
)

// Keeper stores the newest head that this process has received. It is safe for concurrent
// use.
type Keeper struct {
	mu         sync.Mutex
	section    *board.Section[config.Head]
	onAccepted func(*config.Head, Source)
}

// NewKeeper returns a keeper that writes the given section and calls onAccepted, which must
// not block, after each accepted head.
func NewKeeper(section *board.Section[config.Head], onAccepted func(*config.Head, Source)) *Keeper {
	return &Keeper{section: section, onAccepted: onAccepted}
}

// Offer stores the head if its revision is higher than the stored one, and reports whether
// it did.
func (k *Keeper) Offer(head *config.Head, source Source) bool {
	if head == nil || head.Declaration == nil {
		return false
	}
	if !k.store(head) {
		return false
	}
	k.onAccepted(head, source)
	return true
}

func (k *Keeper) store(head *config.Head) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if head.Revision <= k.revision() {
		return false
	}
	k.section.Store(head)
	return true
}

// Head returns the stored head, or nil.
func (k *Keeper) Head() *config.Head { return k.section.Load() }

// Revision returns the stored revision; 0 if there is none.
func (k *Keeper) Revision() config.Revision { return k.revision() }

func (k *Keeper) revision() config.Revision {
	if head := k.section.Load(); head != nil {
		return head.Revision
	}
	return 0
}
