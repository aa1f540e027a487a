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
	var request engineapi.Cancel
	if err := c.Bind(&request); err != nil || request.ID == "" {
		return respondError(c, http.StatusBadRequest, "expected an id")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for running := range e.streams[request.ID] {
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
		return respondError(c, http.StatusBadRequest, "expected after=NUMBER")
	}
	return c.JSON(http.StatusOK, engineapi.CacheEvents{Events: e.cache.eventsAfter(after)})
}

func (e *Engine) handleOrder(c echo.Context) error {
	var request engineapi.Order
	if err := c.Bind(&request); err != nil || !validOrder(request) {
		return respondError(c, http.StatusBadRequest, "expected kind load, unload or role, and what it needs")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := e.settings.ChecksFencing && request.Fence < e.orders.Fence
	e.recordOrder(request, stale)
	if stale {
		return respondError(c, http.StatusPreconditionFailed, engineapi.ErrorStaleFence)
	}
	e.orders.Fence = max(e.orders.Fence, request.Fence)
	e.orders.LastOrder = request.ID
	e.applyOrder(request)
	return c.JSON(http.StatusOK, e.orders)
}

func validOrder(request engineapi.Order) bool {
	switch request.Kind {
	case engineapi.OrderLoad:
		return request.Version != ""
	case engineapi.OrderUnload:
		return true
	case engineapi.OrderRole:
		return request.Role != ""
	}
	return false
}

func (e *Engine) recordOrder(request engineapi.Order, stale bool) {
	result := journal.ResultFinished
	if stale {
		result = journal.ResultRefused
	}
	now := e.clock.Now()
	e.journal.Add(journal.Entry{
		Upstream: e.settings.Name, Domain: e.settings.Domain, Kind: journal.KindOrder,
		RequestID: request.ID, Path: request.Kind, Fence: request.Fence, Version: request.Version,
		Started: now, Finished: now, Result: result,
	})
}

func (e *Engine) applyOrder(request engineapi.Order) {
	switch request.Kind {
	case engineapi.OrderRole:
		e.orders.Role = request.Role
	case engineapi.OrderUnload:
		e.orders.Version, e.orders.Loading = "", ""
	case engineapi.OrderLoad:
		e.orders.Loading = request.Version
		time.AfterFunc(e.settings.LoadTime, func() { e.finishLoad(request) })
	}
}

// finishLoad activates a loaded version, unless a later order has superseded it.
func (e *Engine) finishLoad(request engineapi.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.LastOrder != request.ID {
		return
	}
	e.orders.Version, e.orders.Loading = request.Version, ""
	e.cache.clear()
}

func (e *Engine) handleOrderState(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, e.orders)
}

func respondError(c echo.Context, status int, text string) error {
	return c.JSON(status, engineapi.ErrorAnswer{Error: text})
}
