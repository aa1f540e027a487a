package agent

import (
	"context"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/digest"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// Timing between failure domains.
const (
	// DigestInterval is how often a remote domain's load is fetched. Urgent changes
	// arrive at once: the remote agent holds its reply back until there is one or the
	// interval is over.
	DigestInterval = time.Second
	// DigestPerDomain lengthens the interval where there are many domains, so that a
	// node's traffic grows more slowly than their number.
	DigestPerDomain = 75 * time.Millisecond
	// DigestSpacing is the shortest time between two fetches of one domain.
	DigestSpacing = 50 * time.Millisecond
	// UrgentDelay batches changes that occur together into one reply, such as the
	// instances of a domain that apply a new configuration one after the other.
	UrgentDelay = 40 * time.Millisecond
	// DigestTimeout bounds a fetch beyond the time that the reply may be held back.
	DigestTimeout = 2 * time.Second
	// DigestRetryMax bounds the backoff after failed fetches.
	DigestRetryMax = 4 * time.Second
	// MaxHold bounds the time that a reply is held back, whatever the caller
	// requests.
	MaxHold = 10 * time.Second
)

// digestJobs returns the fetches that this instance owns, or does for owners that do not reach the
// domain. A fresh instance knows no peers yet; without SettleTime it would own all fetches, and
// receive the configuration from every domain.
func (a *Agent) digestJobs(workers []string) map[string]job {
	wanted := make(map[string]job)
	if time.Since(a.started) < SettleTime {
		return wanted
	}
	domains := a.remoteDomains()
	wait := max(DigestInterval, time.Duration(len(domains))*DigestPerDomain)
	for _, domain := range domains {
		if standsIn(member.Key("digest", domain), workers, a.mesh.cutOffFrom(domain), a.Settings.Instance, 1) {
			wanted[domain] = func(ctx context.Context) { a.fetchLoop(ctx, domain, wait) }
		}
	}
	return wanted
}

// remoteDomains returns the other domains named by the configuration, the seeds and
// the digests.
func (a *Agent) remoteDomains() []string {
	seen := map[string]bool{a.Settings.Domain: true}
	var domains []string
	add := func(domain string) {
		if !seen[domain] {
			seen[domain] = true
			domains = append(domains, domain)
		}
	}
	for _, seed := range a.Settings.Seeds {
		add(seed.Domain)
	}
	if head := a.keeper.Head(); head != nil {
		for _, region := range head.Declaration.Regions {
			for _, domain := range region.Domains {
				add(domain)
			}
		}
	}
	if known := a.board.Domains.Load(); known != nil {
		for i := range known.Remote {
			add(known.Remote[i].Domain)
		}
	}
	return domains
}

// fetchLoop fetches one remote domain's digest, and turns to the domain's next
// entry when one does not answer.
func (a *Agent) fetchLoop(ctx context.Context, domain string, wait time.Duration) {
	defer a.mesh.withdrawDigest(domain)
	f := &fetcher{agent: a, domain: domain, wait: wait}
	retry := DigestSpacing
	for ctx.Err() == nil {
		if f.fetch(ctx) {
			retry = DigestSpacing
			clock.Sleep(ctx, DigestSpacing)
			continue
		}
		clock.Sleep(ctx, jitter(retry))
		retry = min(2*retry, DigestRetryMax)
	}
}

// fetcher fetches the digests of one remote domain.
type fetcher struct {
	agent  *Agent
	domain string
	wait   time.Duration
	next   int
	seen   uint64
	whole  bool
	// unreadable is a revision of which the whole head could not be decoded; it is not requested
	// again.
	unreadable config.Revision
	failed     int
}

func (f *fetcher) fetch(ctx context.Context) bool {
	a := f.agent
	addresses := a.addressesOf(f.domain)
	if len(addresses) == 0 {
		return false
	}
	// Each domain ranks the entries by its own key, which spreads the domains over
	// the entries, and prefers one entry even when digests of different entries
	// differ.
	ranked := member.Rank(member.Key("entry", a.Settings.Domain), addresses)
	address := ranked[f.next%len(ranked)]
	ctx, cancel := context.WithTimeout(ctx, f.wait+DigestTimeout)
	defer cancel()
	known, _ := a.mesh.digest(f.domain)
	args := control.DigestArgs{
		Domain: a.Settings.Domain, Revision: max(a.keeper.Revision(), f.unreadable), Whole: f.whole,
		EntriesSum: digest.EntriesSum(known.Entries), Seen: f.seen, Wait: f.wait,
	}
	var reply control.DigestReply
	err := a.clients.Call(ctx, address, control.DomainService+".Digest", &args, &reply)
	count(a.calls.digests, a.calls.digestsFailed, err)
	if err != nil || reply.Digest.Domain != f.domain {
		f.recordFailure(addresses)
		return false
	}
	f.failed = 0
	f.seen = reply.Seen
	f.apply(reply.Revision, reply.Update)
	if a.mesh.setDigest(reply.Digest, reply.EntriesSum, time.Now()) {
		a.beat.raise()
	}
	return true
}

// apply applies an update. After a delta that does not apply it requests the whole
// head with the next fetch.
func (f *fetcher) apply(revision config.Revision, update *control.HeadUpdate) {
	requestedWhole := f.whole
	f.whole = f.agent.applyUpdate(update, spread.SourceDomain) != nil
	if f.whole && (requestedWhole || update.Delta == nil) {
		f.whole, f.unreadable = false, revision
	}
}

// recordFailure turns to the domain's next entry, and publishes the domain as
// unreachable after unreachableAfterEntries failures in a row, or as many as it has
// entries if fewer.
func (f *fetcher) recordFailure(addresses []string) {
	f.next++
	f.failed++
	f.seen = 0
	if f.failed >= min(len(addresses), unreachableAfterEntries) {
		f.agent.mesh.setUnreachable(f.domain)
	}
}

// unreachableAfterEntries is the number of entries of a domain that must fail for
// the domain to count as unreachable.
const unreachableAfterEntries = 2

// addressesOf returns the addresses of a remote domain's agents: those of its last
// digest, then the seeds.
func (a *Agent) addressesOf(domain string) []string {
	seen := make(map[string]bool)
	var addresses []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	known, _ := a.mesh.digest(domain)
	for i := range known.Entries {
		add(known.Entries[i].Addresses.Mesh)
	}
	for _, seed := range a.Settings.Seeds {
		if seed.Domain == domain {
			add(seed.Mesh)
		}
	}
	return addresses
}

// domainService serves agents of other failure domains.
type domainService struct{ agent *Agent }

// Digest returns the own domain's digest, at once when it has an urgent change that
// the caller has not seen, else after the caller's wait.
func (s *domainService) Digest(args *control.DigestArgs, reply *control.DigestReply) error {
	a := s.agent
	timeout := time.NewTimer(min(args.Wait, MaxHold))
	defer timeout.Stop()
	// A caller that has seen nothing yet is answered at once.
	gathered := args.Seen == 0
	for timedOut := false; ; {
		members, head, health := a.board.Members.Changed(), a.board.Config.Changed(), a.board.Platform.Changed()
		own := a.ownDigest(time.Now())
		seen := digest.UrgentSum(&own)
		urgent := seen != args.Seen || a.keeper.Revision() > args.Revision
		if timedOut || (urgent && gathered) {
			return a.fillDigest(args, reply, own, seen)
		}
		if urgent {
			time.Sleep(UrgentDelay)
			gathered = true
			continue
		}
		select {
		case <-members:
		case <-head:
		case <-health:
		case <-timeout.C:
			timedOut = true
		}
	}
}

func (a *Agent) fillDigest(args *control.DigestArgs, reply *control.DigestReply, own board.DomainDigest, seen uint64) error {
	reply.Seen = seen
	reply.EntriesSum = digest.EntriesSum(own.Entries)
	if reply.EntriesSum == args.EntriesSum {
		own.Entries = nil
	}
	reply.Digest = own
	head := a.keeper.Head()
	if head == nil || head.Revision <= args.Revision {
		return nil
	}
	update, err := a.updates.make(head, args.Revision, args.Whole)
	if err != nil {
		return err
	}
	reply.Revision, reply.Update = head.Revision, update
	return nil
}

// ownDigest returns the own domain's current digest at a time.
func (a *Agent) ownDigest(now time.Time) board.DomainDigest {
	health := a.board.Platform.Load()
	return digest.Build(digest.Input{
		Domain: a.Settings.Domain, Region: a.Settings.Region, Now: now,
		// Counted from this process's start by the monotonic clock, so that a step back of the time of
		// day does not make new digests count as older ones.
		Sequence:  uint64(a.started.Add(now.Sub(a.started)).UnixNano()),
		Members:   a.board.Members.Load(),
		Upstreams: a.board.Upstreams.Load(),
		Head:      a.keeper.Head(),
		Platform:  health != nil && health.KeyValue,
	})
}
