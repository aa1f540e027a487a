package etcd

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

// Get implements platform.KeyValue.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, bool, error) {
	ask := wire.RangeRequest{Key: c.full(key)}
	var answer wire.RangeResponse
	if err := c.call(ctx, "get", wire.PathRange, false, ask, &answer); err != nil {
		return platform.Entry{}, false, err
	}
	if len(answer.KVs) == 0 {
		return platform.Entry{}, false, nil
	}
	return c.entry(answer.KVs[0]), true, nil
}

// Range implements platform.KeyValue.
func (c *Client) Range(ctx context.Context, prefix string, limit int) ([]platform.Entry, bool, error) {
	full := c.full(prefix)
	ask := wire.RangeRequest{Key: full, RangeEnd: wire.PrefixEnd(full), Limit: int64(limit)}
	var answer wire.RangeResponse
	if err := c.call(ctx, "range", wire.PathRange, false, ask, &answer); err != nil {
		return nil, false, err
	}
	entries := make([]platform.Entry, 0, len(answer.KVs))
	for _, kv := range answer.KVs {
		entries = append(entries, c.entry(kv))
	}
	return entries, answer.More, nil
}

// Swap implements platform.KeyValue.
func (c *Client) Swap(ctx context.Context, expect map[string]int64, puts []platform.Put) (int64, error) {
	ask := wire.TxnRequest{Compare: c.compares(expect), Success: c.steps(puts)}
	var answer wire.TxnResponse
	if err := c.call(ctx, "txn", wire.PathTxn, true, ask, &answer); err != nil {
		return 0, err
	}
	if !answer.Succeeded {
		return 0, &platform.Error{Service: service, Call: "txn", Err: platform.ErrConflict}
	}
	return answer.Header.Revision, nil
}

func (c *Client) compares(expect map[string]int64) []wire.Compare {
	compares := make([]wire.Compare, 0, len(expect))
	for key, revision := range expect {
		compares = append(compares, wire.Compare{
			Key: c.full(key), Target: wire.TargetMod, Result: wire.ResultEqual, ModRevision: revision,
		})
	}
	slices.SortFunc(compares, func(a, b wire.Compare) int { return slices.Compare(a.Key, b.Key) })
	return compares
}

func (c *Client) steps(puts []platform.Put) []wire.RequestOp {
	steps := make([]wire.RequestOp, 0, len(puts))
	for _, put := range puts {
		key := c.full(put.Key)
		if put.Delete {
			steps = append(steps, wire.RequestOp{DeleteRange: &wire.DeleteRangeRequest{Key: key}})
			continue
		}
		steps = append(steps, wire.RequestOp{Put: &wire.PutRequest{Key: key, Value: put.Value, Lease: int64(put.Lease)}})
	}
	return steps
}

// Grant implements platform.KeyValue. The service counts in whole seconds, so ttl is
// rounded up.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var answer wire.LeaseResponse
	if err := c.call(ctx, "grant", wire.PathGrant, true, wire.GrantRequest{TTL: seconds}, &answer); err != nil {
		return 0, err
	}
	return platform.LeaseID(answer.ID), nil
}

// KeepAlive implements platform.KeyValue.
func (c *Client) KeepAlive(ctx context.Context, lease platform.LeaseID) (time.Duration, error) {
	var answer wire.KeepAliveMessage
	if err := c.call(ctx, "keepalive", wire.PathKeepAlive, true, wire.LeaseRequest{ID: int64(lease)}, &answer); err != nil {
		return 0, err
	}
	if answer.Error != nil || answer.Result == nil {
		return 0, &platform.Error{Service: service, Call: "keepalive", Err: platform.ErrUnavailable}
	}
	if answer.Result.TTL == 0 {
		return 0, &platform.Error{Service: service, Call: "keepalive", Err: platform.ErrLeaseLost}
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke implements platform.KeyValue.
func (c *Client) Revoke(ctx context.Context, lease platform.LeaseID) error {
	var answer wire.LeaseResponse
	return c.call(ctx, "revoke", wire.PathRevoke, true, wire.LeaseRequest{ID: int64(lease)}, &answer)
}

func (c *Client) full(key string) []byte { return []byte(c.options.Prefix + key) }

func (c *Client) entry(kv wire.KeyValue) platform.Entry {
	return platform.Entry{
		Key:            strings.TrimPrefix(string(kv.Key), c.options.Prefix),
		Value:          kv.Value,
		ModRevision:    kv.ModRevision,
		CreateRevision: kv.CreateRevision,
	}
}
