package agent

import (
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// updateFor returns what brings a holder of the given revision to the head: the
// changes alone where the head still holds them, else the whole.
func updateFor(head *config.Head, held config.Revision, whole bool) (*control.HeadUpdate, error) {
	if !whole {
		if delta, ok := head.Delta(held); ok {
			return &control.HeadUpdate{Delta: delta}, nil
		}
	}
	data, err := config.EncodeHead(head)
	if err != nil {
		return nil, err
	}
	return &control.HeadUpdate{Whole: data}, nil
}

// takeUpdate offers a received configuration to the keeper. An error means that
// the whole head has to be asked for.
func (a *Agent) takeUpdate(update *control.HeadUpdate, source spread.Source) error {
	if update == nil {
		return nil
	}
	head, err := a.readUpdate(update)
	if err != nil {
		a.Log.Warn().Err(err).Str("source", string(source)).Msg("configuration-not-followed")
		return err
	}
	a.keeper.Offer(head, source)
	return nil
}

func (a *Agent) readUpdate(update *control.HeadUpdate) (*config.Head, error) {
	if update.Delta == nil {
		return config.DecodeHead(update.Whole)
	}
	held := a.keeper.Head()
	if held == nil {
		held = new(config.Head)
	}
	reaches := update.Delta.From + config.Revision(len(update.Delta.Changes))
	if held.Revision >= reaches {
		return held, nil
	}
	return held.Advance(update.Delta)
}
