package peer

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// A roster is who a failure domain holds: the marks of its instances. It changes when one
// of them comes, leaves or falls silent, and is told only then; who asks names the rosters
// that it holds by their fingerprints.

// Roster names a version of a domain's roster.
type Roster struct {
	Domain      string
	Fingerprint uint64
}

const (
	// quietAfter is when an instance of a large domain that its hub does not hear counts
	// as quiet: some rounds. The others hold it for live SilentAfter longer.
	quietAfter = 5 * roundInterval
	// rosterAge is how old the reports behind a roster are on the average where it is
	// told: instances report once a round.
	rosterAge = roundInterval / 2
)

// fingerprint is the same for the same marks, whichever instance works it out.
func fingerprint(marks []Mark) uint64 {
	sum := xxhash.New()
	var number [8]byte
	for i := range marks {
		mark := &marks[i]
		flags := byte(0)
		for bit, set := range [...]bool{mark.Leaving, mark.Ready, mark.Quiet} {
			if set {
				flags |= 1 << bit
			}
		}
		binary.LittleEndian.PutUint64(number[:], mark.Incarnation)
		// A Digest of package xxhash takes all that is written.
		_, _ = sum.WriteString(mark.Name)
		_, _ = sum.Write(append(number[:], 0, flags))
	}
	return sum.Sum64()
}

// roster is a digest of who the own domain holds, without work. The caller holds g.mu.
func (g *Gossip) roster(own *Report, now time.Time) Digest {
	d := Digest{Domain: g.options.Self.Domain, Region: g.options.Self.Region, Store: own.Store, Era: own.Era, Held: own.Held}
	d.Marks = append(make([]Mark, 0, 1+len(g.reports)), own.mark())
	for _, report := range g.reports {
		age := now.Sub(report.at)
		if age > SilentAfter {
			continue
		}
		mark := report.value.mark()
		mark.Quiet = age > quietAfter
		d.Marks = append(d.Marks, mark)
		if d.position().Before(report.value.position()) {
			d.Store, d.Era = report.value.Store, report.value.Era
		}
	}
	slices.SortFunc(d.Marks, func(a, b Mark) int { return strings.Compare(a.Name, b.Name) })
	d.Roster = fingerprint(d.Marks)
	return d
}

func (r *Report) mark() Mark {
	return Mark{Name: r.Name, Incarnation: r.Incarnation, Leaving: r.Leaving, Ready: r.Ready}
}

// leaveOut leaves the marks out where they are known to who is told.
func (d *Digest) omitKnownMarks(known []Roster) {
	if slices.Contains(known, Roster{Domain: d.Domain, Fingerprint: d.Roster}) {
		d.Marks = nil
	}
}

// rosters names those that this instance holds.
func (g *Gossip) rosters() []Roster {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := make([]Roster, 0, 1+len(g.digests))
	if len(g.ownRoster.Marks) > 0 {
		held = append(held, Roster{Domain: g.ownRoster.Domain, Fingerprint: g.ownRoster.Roster})
	}
	for domain, digest := range g.digests {
		if len(digest.value.Marks) > 0 {
			held = append(held, Roster{Domain: domain, Fingerprint: digest.value.Roster})
		}
	}
	return held
}

// takeRoster learns from the hub who the own domain holds. The caller holds g.mu.
func (g *Gossip) applyRoster(told *Digest, now time.Time) {
	if len(told.Marks) > 0 {
		g.ownRoster = *told
	}
	at := now.Add(-rosterAge)
	for _, mark := range g.ownRoster.Marks {
		if mark.Name != g.options.Self.Name {
			g.applyMark(mark, at)
		}
	}
}

// takeMark learns of an instance of the own domain that it was heard at a time. What it
// said itself, of leaving above all, may be newer. The caller holds g.mu.
func (g *Gossip) applyMark(mark Mark, at time.Time) {
	before := g.reports[mark.Name]
	if before != nil && before.value.Incarnation > mark.Incarnation {
		return
	}
	if before == nil || before.value.Incarnation < mark.Incarnation {
		if mark.Quiet {
			return
		}
		g.reports[mark.Name] = &received[Report]{value: Report{
			Name: mark.Name, Incarnation: mark.Incarnation, Leaving: mark.Leaving, Ready: mark.Ready,
		}, at: at}
		g.options.Log.Info().Str(event.KeyPeer, mark.Name).Msg(string(event.PeerFound))
		return
	}
	if mark.Leaving && !before.value.Leaving {
		g.options.Log.Info().Str(event.KeyPeer, mark.Name).Msg(string(event.PeerLeaving))
	}
	before.value.Leaving = before.value.Leaving || mark.Leaving
	before.value.Ready = before.value.Ready || mark.Ready
	if !mark.Quiet && at.After(before.at) {
		before.at = at
	}
}
