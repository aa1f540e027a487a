package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/member"
)

// Timing and bounds of the polls of upstreams.
const (
	PollInterval = time.Second
	// PollTimeout bounds one poll.
	PollTimeout = time.Second
	// PollFailures is the number of consecutive failed polls after which an upstream
	// counts as silent.
	PollFailures = 2
	// maxReport bounds a load report in bytes.
	maxReport = 64 << 10
	// maxPrefixes bounds the prefix hashes that are kept for one engine.
	maxPrefixes = 64
)

// StatusError reports an upstream's answer other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("upstream answered %d", e.Status) }

// pollJobs returns the polls that this instance owns.
func (a *Agent) pollJobs(workers []string) map[string]job {
	wanted := make(map[string]job)
	head := a.keeper.Head()
	if head == nil {
		return wanted
	}
	for i := range head.Declaration.Upstreams {
		u := &head.Declaration.Upstreams[i]
		if u.Domain != a.Settings.Domain {
			continue
		}
		if member.Owns(member.Key("poll", u.Name), workers, a.Settings.Instance, 1) {
			wanted[u.Name+" "+u.Address] = func(ctx context.Context) { a.pollLoop(ctx, u) }
		}
	}
	return wanted
}

func (a *Agent) pollLoop(ctx context.Context, u *config.Upstream) {
	defer a.mesh.withdrawUpstream(u.Name)
	failed := 0
	for {
		load, err := a.poll(ctx, u)
		if ctx.Err() != nil {
			return
		}
		count(a.calls.polls, a.calls.pollsFailed, err)
		failed++
		if err == nil {
			failed = 0
		}
		if failed >= PollFailures {
			load = board.UpstreamLoad{Name: u.Name, State: board.UpstreamSilent, ReportedAt: time.Now()}
		}
		if load.Name != "" && a.mesh.setUpstream(load) {
			a.beat.raise()
		}
		if !clock.Sleep(ctx, jitter(PollInterval)+PollInterval/4) {
			return
		}
	}
}

// poll reads one upstream's load.
func (a *Agent) poll(ctx context.Context, u *config.Upstream) (board.UpstreamLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	path := engineapi.PathLoad
	if u.Kind == config.KindService {
		path = "/healthz"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+path, nil)
	if err != nil {
		return board.UpstreamLoad{}, err
	}
	response, err := a.http.Do(request)
	if err != nil {
		return board.UpstreamLoad{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readReport(u, response)
}

func readReport(u *config.Upstream, response *http.Response) (board.UpstreamLoad, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return board.UpstreamLoad{}, err
	}
	leaving := response.Header.Get(header.Leaving) == "true"
	if response.StatusCode != http.StatusOK && !leaving {
		return board.UpstreamLoad{}, &StatusError{Status: response.StatusCode}
	}
	var report engineapi.Load
	if err := json.Unmarshal(body, &report); err != nil && u.Kind == config.KindEngine && !leaving {
		return board.UpstreamLoad{}, err
	}
	load := board.UpstreamLoad{
		Name: u.Name, State: board.UpstreamLive, Running: report.Running, Queued: report.Queued,
		DecodeRate: report.DecodeRate, PrefillRate: report.PrefillRate, Version: report.Version,
		ReportedAt: time.Now().Add(-time.Duration(report.AgeMillis) * time.Millisecond),
		Prefixes:   prefixes(report.Prefixes),
	}
	if leaving || report.Leaving {
		load.State = board.UpstreamLeaving
	}
	return load, nil
}

// prefixes parses hexadecimal hashes and leaves out invalid ones, as prefixes are
// only hints.
func prefixes(hexes []string) []uint64 {
	var hashes []uint64
	for _, text := range hexes[:min(len(hexes), maxPrefixes)] {
		if hash, err := strconv.ParseUint(text, 16, 64); err == nil {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}
