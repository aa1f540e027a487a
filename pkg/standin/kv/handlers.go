package kv

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

func (s *Service) handleRange(c echo.Context) error {
	var request wire.RangeRequest
	up, err := s.admit(c, &s.counts.Range, s.reads, &request)
	if up == nil {
		return err
	}
	return c.JSON(http.StatusOK, s.store.rangeKeys(request))
}

func (s *Service) handleTxn(c echo.Context) error {
	var request wire.TxnRequest
	up, err := s.admit(c, &s.counts.Txn, s.writes, &request)
	if up == nil {
		return err
	}
	answer, err := s.store.txn(request)
	if err != nil {
		return respondStoreError(c, err)
	}
	if !answer.Succeeded {
		s.count(&s.counts.Conflicts)
	}
	return s.answer(c, answer)
}

func (s *Service) handleGrant(c echo.Context) error {
	var request wire.GrantRequest
	up, err := s.admit(c, &s.counts.Grant, s.writes, &request)
	if up == nil {
		return err
	}
	return s.answer(c, s.store.grant(request.TTL))
}

func (s *Service) handleKeepAlive(c echo.Context) error {
	var request wire.LeaseRequest
	up, err := s.admit(c, &s.counts.KeepAlive, s.writes, &request)
	if up == nil {
		return err
	}
	answer := s.store.keepAlive(request.ID)
	return s.answer(c, wire.KeepAliveMessage{Result: &answer})
}

func (s *Service) handleRevoke(c echo.Context) error {
	var request wire.LeaseRequest
	up, err := s.admit(c, &s.counts.Revoke, s.writes, &request)
	if up == nil {
		return err
	}
	answer, err := s.store.revoke(request.ID)
	if err != nil {
		return respondStoreError(c, err)
	}
	return s.answer(c, answer)
}

// handleWatch streams the key's events until the client disconnects or the service
// is set down, which aborts the stream.
func (s *Service) handleWatch(c echo.Context) error {
	var request wire.WatchRequest
	up, err := s.admit(c, &s.counts.Watch, s.reads, &request)
	if up == nil {
		return err
	}
	out := json.NewEncoder(c.Response())
	w, revision, err := s.store.watch(string(request.Create.Key), request.Create.StartRevision)
	if err != nil {
		return out.Encode(cancelled(revision))
	}
	defer s.store.unwatch(w)
	created := wire.WatchResponse{Header: wire.Header{Revision: revision}, Created: true}
	if err := send(c, out, created); err != nil {
		return err
	}
	for {
		select {
		case <-w.wake:
		case <-c.Request().Context().Done():
			return nil
		case <-up.Done():
			panic(http.ErrAbortHandler)
		}
		if err := s.sendEvents(c, out, w); err != nil {
			return err
		}
	}
}

func (s *Service) sendEvents(c echo.Context, out *json.Encoder, w *watcher) error {
	events, revision, err := s.store.pending(w)
	if err != nil {
		return errors.Join(err, out.Encode(cancelled(revision)))
	}
	if len(events) == 0 {
		return nil
	}
	return send(c, out, wire.WatchResponse{Header: wire.Header{Revision: revision}, Events: events})
}

func send(c echo.Context, out *json.Encoder, message wire.WatchResponse) error {
	if err := out.Encode(wire.WatchMessage{Result: &message}); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}

func cancelled(compacted int64) wire.WatchMessage {
	return wire.WatchMessage{Result: &wire.WatchResponse{Canceled: true, CompactRevision: compacted + 1}}
}
