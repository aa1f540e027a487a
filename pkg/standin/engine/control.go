package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

func (e *Engine) handleCancel(c echo.Context) error {
	var ask engineapi.Cancel
	if err := c.Bind(&ask); err != nil || ask.ID == "" {
		return refuse(c, http.StatusBadRequest, "expected an id")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for running := range e.streams[ask.ID] {
		running.cancel()
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) handleLoad(c echo.Context) error {
	e.mu.Lock()
	old := e.previous
	e.mu.Unlock()
	answer := old.load
	answer.AgeMillis = e.clock.Now().Sub(old.at).Milliseconds()
	return c.JSON(http.StatusOK, answer)
}

func (e *Engine) handleCacheEvents(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return refuse(c, http.StatusBadRequest, "expected after=NUMBER")
	}
	return c.JSON(http.StatusOK, engineapi.CacheEvents{Events: e.cache.eventsAfter(after)})
}

func (e *Engine) handleOrder(c echo.Context) error {
	var ask engineapi.Order
	if err := c.Bind(&ask); err != nil || !validOrder(ask) {
		return refuse(c, http.StatusBadRequest, "expected kind load, unload or role, and what it needs")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := e.settings.ChecksFencing && ask.Fence < e.orders.Fence
	e.record(ask, stale)
	if stale {
		return refuse(c, http.StatusPreconditionFailed, engineapi.ErrorStaleFence)
	}
	e.orders.Fence = max(e.orders.Fence, ask.Fence)
	e.orders.LastOrder = ask.ID
	e.obey(ask)
	return c.JSON(http.StatusOK, e.orders)
}

func validOrder(ask engineapi.Order) bool {
	switch ask.Kind {
	case engineapi.OrderLoad:
		return ask.Version != ""
	case engineapi.OrderUnload:
		return true
	case engineapi.OrderRole:
		return ask.Role != ""
	}
	return false
}

func (e *Engine) record(ask engineapi.Order, stale bool) {
	result := journal.ResultFinished
	if stale {
		result = journal.ResultRefused
	}
	now := e.clock.Now()
	e.journal.Add(journal.Entry{
		Upstream: e.settings.Name, Domain: e.settings.Domain, Kind: journal.KindOrder,
		RequestID: ask.ID, Path: ask.Kind, Fence: ask.Fence, Version: ask.Version,
		Started: now, Finished: now, Result: result,
	})
}

func (e *Engine) obey(ask engineapi.Order) {
	switch ask.Kind {
	case engineapi.OrderRole:
		e.orders.Role = ask.Role
	case engineapi.OrderUnload:
		e.orders.Version, e.orders.Loading = "", ""
	case engineapi.OrderLoad:
		e.orders.Loading = ask.Version
		time.AfterFunc(e.settings.LoadTime, func() { e.loaded(ask) })
	}
}

// loaded ends a load, unless a later order has taken its place.
func (e *Engine) loaded(ask engineapi.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.LastOrder != ask.ID {
		return
	}
	e.orders.Version, e.orders.Loading = ask.Version, ""
	e.cache.clear()
}

func (e *Engine) handleOrderState(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, e.orders)
}

func refuse(c echo.Context, status int, text string) error {
	return c.JSON(status, engineapi.ErrorAnswer{Error: text})
}
