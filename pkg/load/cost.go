package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/standin/admin"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// Cost is the upstream work of a run, from the journals of the stand-ins.
type Cost struct {
	// Runs counts the requests that upstreams ran. Engine is the time for which
	// requests held slots of model engines.
	Runs   int
	Engine time.Duration
	// Wasted is the share of Engine spent on requests without a complete answer.
	Wasted time.Duration
}

// ReadCost reads the journals of the stand-ins and sums the requests that started
// after the given time.
func ReadCost(ctx context.Context, address string, since time.Time) (*Cost, error) {
	lines, err := admin.Send(ctx, address, admin.Command{Verb: "journal"})
	if err != nil {
		return nil, fmt.Errorf("cost: %w", err)
	}
	cost := &Cost{}
	decoder := json.NewDecoder(bytes.NewReader(lines))
	for decoder.More() {
		var entry journal.Entry
		if err := decoder.Decode(&entry); err != nil {
			return nil, fmt.Errorf("cost: %w", err)
		}
		if entry.Started.After(since) {
			cost.add(&entry)
		}
	}
	return cost, nil
}

func (c *Cost) add(entry *journal.Entry) {
	if entry.Kind == journal.KindOrder || entry.Result == journal.ResultRefused {
		return
	}
	c.Runs++
	if entry.Kind != journal.KindChat || entry.Finished.IsZero() {
		return
	}
	held := entry.Finished.Sub(entry.Started)
	c.Engine += held
	if entry.Result != journal.ResultFinished {
		c.Wasted += held
	}
}
