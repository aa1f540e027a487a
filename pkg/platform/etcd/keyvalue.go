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
	request := wire.RangeRequest{Key: c.fullKey(key)}
	var response wire.RangeResponse
	if err := c.call(ctx, "get", wire.PathRange, false, request, &response); err != nil {
		return platform.Entry{}, false, err
	}
	if len(response.KVs) == 0 {
		return platform.Entry{}, false, nil
	}
	return c.entry(response.KVs[0]), true, nil
}

// Range implements platform.KeyValue.
func (c *Client) Range(ctx context.Context, prefix string, limit int) ([]platform.Entry, bool, error) {
	fullKey := c.fullKey(prefix)
	request := wire.RangeRequest{Key: fullKey, RangeEnd: wire.PrefixEnd(fullKey), Limit: int64(limit)}
	var response wire.RangeResponse
	if err := c.call(ctx, "range", wire.PathRange, false, request, &response); err != nil {
		return nil, false, err
	}
	entries := make([]platform.Entry, 0, len(response.KVs))
	for _, kv := range response.KVs {
		entries = append(entries, c.entry(kv))
	}
	return entries, response.More, nil
}

// Swap implements platform.KeyValue.
func (c *Client) Swap(ctx context.Context, expect map[string]int64, puts []platform.Put) (int64, error) {
	request := wire.TxnRequest{Compare: c.compares(expect), Success: c.operations(puts)}
	var response wire.TxnResponse
	if err := c.call(ctx, "txn", wire.PathTxn, true, request, &response); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, &platform.Error{Service: service, Call: "txn", Err: platform.ErrConflict}
	}
	return response.Header.Revision, nil
}

func (c *Client) compares(expect map[string]int64) []wire.Compare {
	compares := make([]wire.Compare, 0, len(expect))
	for key, revision := range expect {
		compares = append(compares, wire.Compare{
			Key: c.fullKey(key), Target: wire.TargetMod, Result: wire.ResultEqual, ModRevision: revision,
		})
	}
	slices.SortFunc(compares, func(a, b wire.Compare) int { return slices.Compare(a.Key, b.Key) })
	return compares
}

func (c *Client) operations(puts []platform.Put) []wire.RequestOp {
	operations := make([]wire.RequestOp, 0, len(puts))
	for _, put := range puts {
		key := c.fullKey(put.Key)
		if put.Delete {
			operations = append(operations, wire.RequestOp{DeleteRange: &wire.DeleteRangeRequest{Key: key}})
			continue
		}
		operations = append(operations, wire.RequestOp{Put: &wire.PutRequest{Key: key, Value: put.Value, Lease: int64(put.Lease)}})
	}
	return operations
}

// Grant implements platform.KeyValue. The service counts in whole seconds, so ttl is
// rounded up.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response wire.LeaseResponse
	if err := c.call(ctx, "grant", wire.PathGrant, true, wire.GrantRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	return platform.LeaseID(response.ID), nil
}

// KeepAlive implements platform.KeyValue.
func (c *Client) KeepAlive(ctx context.Context, lease platform.LeaseID) (time.Duration, error) {
	var response wire.KeepAliveMessage
	if err := c.call(ctx, "keepalive", wire.PathKeepAlive, true, wire.LeaseRequest{ID: int64(lease)}, &response); err != nil {
		return 0, err
	}
	if response.Error != nil || response.Result == nil {
		return 0, &platform.Error{Service: service, Call: "keepalive", Err: platform.ErrUnavailable}
	}
	if response.Result.TTL == 0 {
		return 0, &platform.Error{Service: service, Call: "keepalive", Err: platform.ErrLeaseLost}
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke implements platform.KeyValue.
func (c *Client) Revoke(ctx context.Context, lease platform.LeaseID) error {
	var response wire.LeaseResponse
	return c.call(ctx, "revoke", wire.PathRevoke, true, wire.LeaseRequest{ID: int64(lease)}, &response)
}

func (c *Client) fullKey(key string) []byte { return []byte(c.options.Prefix + key) }

func (c *Client) entry(kv wire.KeyValue) platform.Entry {
	return platform.Entry{
		Key:            strings.TrimPrefix(string(kv.Key), c.options.Prefix),
		Value:          kv.Value,
		ModRevision:    kv.ModRevision,
		CreateRevision: kv.CreateRevision,
	}
}
