// Package spread brings the accepted configuration to one instance and onwards:
// from the platform's watch, from other instances, from the own gateway.
//
// Guarantee: the configuration held never goes to a lower revision, whatever
// the order in which heads arrive.
package spread

import (
	"sync"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Source names where a head came from, for logs and counters.
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

// Keeper holds the newest head that this process has seen. It is safe for
// concurrent use.
type Keeper struct {
	mu         sync.Mutex
	section    *board.Section[config.Head]
	onAccepted func(*config.Head, Source)
}

// NewKeeper returns a keeper that writes the given section and calls onTaken,
// which must not block, after each head that was taken.
func NewKeeper(section *board.Section[config.Head], onAccepted func(*config.Head, Source)) *Keeper {
	return &Keeper{section: section, onAccepted: onAccepted}
}

// Offer takes the head when its revision is higher than the one held, and says
// whether it did.
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

// Head returns the head held, or nil.
func (k *Keeper) Head() *config.Head { return k.section.Load() }

// Revision returns the revision held; 0 when there is none.
func (k *Keeper) Revision() config.Revision { return k.revision() }

func (k *Keeper) revision() config.Revision {
	if head := k.section.Load(); head != nil {
		return head.Revision
	}
	return 0
}
