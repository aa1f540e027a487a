package agent

import (
	"sync"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// updates caches the last update, since many peers request the same one at the same
// time. The zero value is ready for use.
type updates struct {
	mu     sync.Mutex
	to     config.Revision
	from   config.Revision
	whole  *control.HeadUpdate
	change *control.HeadUpdate
}

// make returns an update from the held revision to the head: the delta alone if the
// head still has it, else the whole head.
func (u *updates) make(head *config.Head, held config.Revision, whole bool) (*control.HeadUpdate, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.to != head.Revision {
		u.to, u.whole, u.change = head.Revision, nil, nil
	}
	if !whole && u.change != nil && u.from == held {
		return u.change, nil
	}
	if !whole {
		if delta, ok := head.Delta(held); ok {
			u.from, u.change = held, &control.HeadUpdate{To: head.Revision, Delta: delta}
			return u.change, nil
		}
	}
	if u.whole == nil {
		data, err := config.EncodeHead(head)
		if err != nil {
			return nil, err
		}
		u.whole = &control.HeadUpdate{To: head.Revision, Whole: data}
	}
	return u.whole, nil
}

// applyUpdate offers a received configuration to the keeper. An error means that
// the whole head has to be requested. The same configuration often arrives from
// many sources at once, so updates are decoded one at a time, and not at all once
// their revision is held.
func (a *Agent) applyUpdate(update *control.HeadUpdate, source spread.Source) error {
	if update == nil {
		return nil
	}
	a.updating.Lock()
	defer a.updating.Unlock()
	if update.To > 0 && a.keeper.Revision() >= update.To {
		return nil
	}
	head, err := a.decodeUpdate(update)
	if err != nil {
		a.Log.Warn().Err(err).Str("source", string(source)).Msg("configuration-not-followed")
		return err
	}
	a.keeper.Offer(head, source)
	return nil
}

func (a *Agent) decodeUpdate(update *control.HeadUpdate) (*config.Head, error) {
	if update.Delta == nil {
		return config.DecodeHead(update.Whole)
	}
	held := a.keeper.Head()
	if held == nil {
		held = new(config.Head)
	}
	return held.Advance(update.Delta)
}
