package rest

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Directory is a platform.Directory.
type Directory struct{ client client }

var _ platform.Directory = (*Directory)(nil)

// NewDirectory returns the directory at address.
func NewDirectory(address string, dial credential.Dial, access Access) *Directory {
	return &Directory{client: newClient("directory", address, dial, access)}
}

// Register implements platform.Directory.
func (d *Directory) Register(ctx context.Context, entry platform.DirectoryEntry, ttl time.Duration) error {
	request := Registration{Entry: entry, TTLMillis: ttl.Milliseconds()}
	return d.client.call(ctx, http.MethodPut, entryPath(entry.Instance), request, nil)
}

// Deregister implements platform.Directory.
func (d *Directory) Deregister(ctx context.Context, instance string) error {
	return d.client.call(ctx, http.MethodDelete, entryPath(instance), nil, nil)
}

// Lookup implements platform.Directory.
func (d *Directory) Lookup(ctx context.Context) ([]platform.DirectoryEntry, error) {
	var response Entries
	if err := d.client.call(ctx, http.MethodGet, PathEntries, nil, &response); err != nil {
		return nil, err
	}
	return response.Entries, nil
}

func entryPath(instance string) string { return PathEntries + "/" + url.PathEscape(instance) }

// InstanceList is a platform.InstanceList.
type InstanceList struct{ client client }

var _ platform.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns the instance list at address.
func NewInstanceList(address string, dial credential.Dial, access Access) *InstanceList {
	return &InstanceList{client: newClient("instance-list", address, dial, access)}
}

// List implements platform.InstanceList.
func (l *InstanceList) List(ctx context.Context, domain string) ([]platform.ListedInstance, error) {
	var response Instances
	path := PathInstances + "?domain=" + url.QueryEscape(domain)
	if err := l.client.call(ctx, http.MethodGet, path, nil, &response); err != nil {
		return nil, err
	}
	return response.Instances, nil
}

// WeightStore is a platform.WeightStore.
type WeightStore struct{ client client }

var _ platform.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns the weight store at address.
func NewWeightStore(address string, dial credential.Dial, access Access) *WeightStore {
	return &WeightStore{client: newClient("weight-store", address, dial, access)}
}

// Reserve implements platform.WeightStore.
func (w *WeightStore) Reserve(ctx context.Context, model, version string) (time.Duration, error) {
	var response ReservationAnswer
	request := ReservationRequest{Model: model, Version: version}
	if err := w.client.call(ctx, http.MethodPost, PathReservations, request, &response); err != nil {
		return 0, err
	}
	return time.Duration(response.WaitMillis) * time.Millisecond, nil
}
