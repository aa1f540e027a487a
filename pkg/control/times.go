package control

import (
	"maps"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// A time loses its monotonic reading on the way to another process, and its age there changes when the
// time of day is set. So the times in ExchangeArgs travel as differences to SentAt.

// Depart replaces the times by ones that keep their ages on the way. The sections that are given are
// not changed. It is called right before the arguments are sent.
func (a *ExchangeArgs) Depart(now time.Time) {
	a.SentAt = now.Round(0)
	a.moveTimes(func(t time.Time) time.Time { return a.SentAt.Add(t.Sub(now)) })
}

// Arrive replaces the times by ones of this process's clock with the ages that they had when they were
// sent.
func (a *ExchangeArgs) Arrive(now time.Time) {
	if a.SentAt.IsZero() {
		return
	}
	a.moveTimes(func(t time.Time) time.Time { return now.Add(t.Sub(a.SentAt)) })
}

func (a *ExchangeArgs) moveTimes(move func(time.Time) time.Time) {
	moved := func(t time.Time) time.Time {
		if t.IsZero() {
			return t
		}
		return move(t)
	}
	if a.Members != nil {
		members := *a.Members
		members.Instances = slices.Clone(members.Instances)
		for i := range members.Instances {
			members.Instances[i].LastHeard = moved(members.Instances[i].LastHeard)
		}
		a.Members = &members
	}
	if a.Upstreams != nil {
		upstreams := board.Upstreams{ByName: maps.Clone(a.Upstreams.ByName)}
		for name, load := range upstreams.ByName {
			load.ReportedAt = moved(load.ReportedAt)
			upstreams.ByName[name] = load
		}
		a.Upstreams = &upstreams
	}
	if a.Domains != nil {
		domains := board.Domains{Remote: slices.Clone(a.Domains.Remote)}
		for i := range domains.Remote {
			domains.Remote[i].HeardAt = moved(domains.Remote[i].HeardAt)
		}
		a.Domains = &domains
	}
	if a.Platform != nil {
		health := *a.Platform
		health.Since = moved(health.Since)
		a.Platform = &health
	}
}
