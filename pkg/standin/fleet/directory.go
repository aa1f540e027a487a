// Package fleet holds stand-ins for the platform's smaller services: the
// directory for clients, the delayed list of instances and the rate-limited
// store of model weights. They implement the protocols of package platform/rest.
package fleet

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/rest"
)

// Directory is a stand-in for the directory; entries expire after their time to
// live.
type Directory struct {
	clock   clock.Clock
	mu      sync.Mutex
	entries map[string]directoryEntry
}

type directoryEntry struct {
	entry   platform.DirectoryEntry
	expires time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory(c clock.Clock) *Directory {
	return &Directory{clock: c, entries: make(map[string]directoryEntry)}
}

// Handler serves the directory.
func (d *Directory) Handler() http.Handler {
	e := echo.New()
	e.GET(rest.PathEntries, d.lookup)
	e.PUT(rest.PathEntries+"/:instance", d.register)
	e.DELETE(rest.PathEntries+"/:instance", d.deregister)
	return e
}

func (d *Directory) lookup(c echo.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := rest.Entries{Entries: []platform.DirectoryEntry{}}
	now := d.clock.Now()
	for name, stored := range d.entries {
		if !now.Before(stored.expires) {
			delete(d.entries, name)
			continue
		}
		answer.Entries = append(answer.Entries, stored.entry)
	}
	sort.Slice(answer.Entries, func(i, j int) bool { return answer.Entries[i].Instance < answer.Entries[j].Instance })
	return c.JSON(http.StatusOK, answer)
}

func (d *Directory) register(c echo.Context) error {
	var request rest.Registration
	if err := c.Bind(&request); err != nil || request.Entry.Instance != c.Param("instance") || request.TTLMillis <= 0 {
		return c.JSON(http.StatusBadRequest, rest.ErrorAnswer{Error: "expected entry.instance as in the path and ttl_ms above 0"})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	expires := d.clock.Now().Add(time.Duration(request.TTLMillis) * time.Millisecond)
	d.entries[request.Entry.Instance] = directoryEntry{entry: request.Entry, expires: expires}
	return c.NoContent(http.StatusNoContent)
}

func (d *Directory) deregister(c echo.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.entries, c.Param("instance"))
	return c.NoContent(http.StatusNoContent)
}
