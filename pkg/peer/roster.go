package peer

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/event"
)

// A roster is the list of a failure domain's instances, as marks. It changes when one of them
// starts, leaves or becomes unreachable, and is sent only then. Askers name the rosters that
// they hold by fingerprint.

// Roster identifies a version of a domain's roster.
type Roster struct {
	Domain      string
	Fingerprint uint64
}

const (
	// quietAfter is the time without reports, some rounds, after which the hub of a large domain
	// marks an instance as quiet. The others consider it live for SilentAfter longer.
	quietAfter = 5 * roundInterval
	// rosterAge is the average age of the reports behind a roster when it is sent: instances
	// report once a round.
	rosterAge = roundInterval / 2
)

// fingerprint is a hash of the marks, the same on every instance.
func fingerprint(marks []Mark) uint64 {
	sum := xxhash.New()
	var number [8]byte
	for i := range marks {
		mark := &marks[i]
		flags := byte(0)
		for bit, set := range [...]bool{mark.Leaving, mark.Ready, mark.Quiet, mark.Behind} {
			if set {
				flags |= 1 << bit
			}
		}
		binary.LittleEndian.PutUint64(number[:], mark.Incarnation)
		// Writes to an xxhash.Digest never fail.
		_, _ = sum.WriteString(mark.Name)
		_, _ = sum.Write(append(number[:], 0, flags))
		_, _ = sum.WriteString(mark.Unreachable)
	}
	return sum.Sum64()
}

// roster returns a digest of the own domain's instances, without loads. The caller holds g.mu.
func (g *Gossip) roster(own *Report, now time.Time) Digest {
	d := Digest{Domain: g.options.Self.Domain, Region: g.options.Self.Region, Store: own.Store, Era: own.Era, Held: own.Held}
	d.Marks = append(make([]Mark, 0, 1+len(g.reports)), own.mark())
	d.addContact(own, 0)
	for _, report := range g.reports {
		age := now.Sub(report.at)
		if age > SilentAfter {
			continue
		}
		mark := report.value.mark()
		mark.Quiet = age > quietAfter
		d.Marks = append(d.Marks, mark)
		d.addContact(&report.value, age)
		if d.position().Before(report.value.position()) {
			d.Store, d.Era = report.value.Store, report.value.Era
		}
	}
	slices.SortFunc(d.Marks, func(a, b Mark) int { return strings.Compare(a.Name, b.Name) })
	d.Roster = fingerprint(d.Marks)
	return d
}

func (r *Report) mark() Mark {
	return Mark{Name: r.Name, Incarnation: r.Incarnation, Leaving: r.Leaving, Ready: r.Ready, Unreachable: r.Unreachable, Behind: r.Behind}
}

// addContact adds what a report of the given age tells about the store's answers.
func (d *Digest) addContact(report *Report, age time.Duration) {
	if age += report.StoreAge; report.Current && (!d.Current || age < d.StoreAge) {
		d.Current, d.StoreAge = true, age
	}
}

// omitKnownMarks removes the marks if the receiver has them already.
func (d *Digest) omitKnownMarks(known []Roster) {
	if slices.Contains(known, Roster{Domain: d.Domain, Fingerprint: d.Roster}) {
		d.Marks = nil
	}
}

// rosters returns the rosters that this instance holds.
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

// applyRoster merges the own domain's roster from the hub. The caller holds g.mu.
func (g *Gossip) applyRoster(digest *Digest, now time.Time) {
	if len(digest.Marks) > 0 {
		g.ownRoster = *digest
	}
	at := now.Add(-rosterAge)
	if digest.Current {
		g.confirm(digest.Domain, digest.position(), at.Add(-digest.StoreAge))
	}
	for _, mark := range g.ownRoster.Marks {
		if mark.Name != g.options.Self.Name {
			g.applyMark(mark, at)
		}
	}
}

// applyMark records that an instance of the own domain was live at a time. The instance's own
// report, of leaving above all, may be newer. The caller holds g.mu.
func (g *Gossip) applyMark(mark Mark, at time.Time) {
	before := g.reports[mark.Name]
	if before != nil && isRestartWithEarlierClock(before, mark.Incarnation, at) {
		before = nil
	}
	if before != nil && before.value.Incarnation > mark.Incarnation {
		return
	}
	if before == nil || before.value.Incarnation < mark.Incarnation {
		if mark.Quiet {
			return
		}
		g.reports[mark.Name] = &received[Report]{value: Report{
			Name: mark.Name, Incarnation: mark.Incarnation, Leaving: mark.Leaving, Ready: mark.Ready, Unreachable: mark.Unreachable, Behind: mark.Behind,
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
		before.at, before.value.Unreachable, before.value.Behind = at, mark.Unreachable, mark.Behind
	}
}
