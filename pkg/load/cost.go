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

// Cost is what a run took from the upstreams, by their journals.
type Cost struct {
	// Runs counts requests that upstreams ran, Engine the time that requests
	// held a slot of a model engine.
	Runs   int
	Engine time.Duration
	// Wasted is the part of Engine that ended in no whole answer.
	Wasted time.Duration
}

// ReadCost reads the journals of the stand-ins and adds up what began after a time.
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
