package route

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

// DigestTTL is the age from which another domain's digest is ignored: it grants no credit
// and the domain counts as unreachable.
const DigestTTL = 5 * time.Second

// One-way network delays that are assumed where none has been measured.
const (
	defaultCrossRegionDelay = 55 * time.Millisecond
	defaultSameRegionDelay  = time.Millisecond
)

// remote is a pool of another failure domain, as its digest reports it.
type remote struct {
	digest *board.DomainDigest
	state  board.PoolDigest
	// delay is the one-way network delay in seconds.
	delay float64
	// credit is how many requests this gateway may send on the basis of the digest.
	credit int
	ledger *ledger
}

func (r *remote) fresh(now time.Time) bool {
	return now.Sub(r.digest.HeardAt) <= DigestTTL && len(r.digest.Entries) > 0
}

func (t *Table) compileRemotes(in *Input) {
	if in.Domains == nil {
		return
	}
	gateways := demandsOf(liveGateways(in))
	domains := allDomains(in)
	for i := range in.Domains.Remote {
		digest := &in.Domains.Remote[i]
		if digest.Domain == in.Domain {
			continue
		}
		senders := sendersTo(digest.Domain, domains)
		for _, state := range digest.Pools {
			if state.Slots <= 0 {
				continue
			}
			p := t.pool(poolID{state.Serves, state.Version})
			p.remotes = append(p.remotes, remote{
				digest: digest,
				state:  state,
				delay:  t.linkDelay(in, digest).Seconds(),
				credit: creditOf(in, digest, state, senders, gateways),
				ledger: t.spill.ledger(digest, p.key),
			})
		}
	}
}

func (t *Table) linkDelay(in *Input, digest *board.DomainDigest) time.Duration {
	if measured, ok := in.Links[digest.Domain]; ok {
		return measured
	}
	if digest.Region == t.region {
		return defaultSameRegionDelay
	}
	return defaultCrossRegionDelay
}

// creditOf splits a domain's spare capacity among the domains that may send, and this
// domain's share among its gateways. The remainders rotate from digest to digest.
func creditOf(in *Input, digest *board.DomainDigest, state board.PoolDigest, senders, gateways []limit.Demand) int {
	round := digest.Domain + "/" + state.Serves + "/" + strconv.FormatUint(digest.Sequence, 16)
	mine := limit.Share(round, state.Spare, in.Domain, senders)
	return limit.Share(round, mine, in.Self, gateways)
}

func demandsOf(gateways []board.Instance) []limit.Demand {
	demands := make([]limit.Demand, len(gateways))
	for i := range gateways {
		demands[i].Name = gateways[i].Name
	}
	return demands
}

// allDomains returns every domain that is declared or has sent a digest, sorted.
func allDomains(in *Input) []string {
	names := []string{in.Domain}
	for i := range in.Domains.Remote {
		names = append(names, in.Domains.Remote[i].Domain)
	}
	for _, region := range in.Head.Declaration.Regions {
		names = append(names, region.Domains...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// sendersTo returns every domain but the receiver.
func sendersTo(receiver string, domains []string) []limit.Demand {
	demands := make([]limit.Demand, 0, len(domains))
	for _, name := range domains {
		if name != receiver {
			demands = append(demands, limit.Demand{Name: name})
		}
	}
	return demands
}

// estimate predicts a request's times in another domain; the caches there are assumed to be
// cold.
func (r *remote) estimate(req *Request) Estimate {
	ahead := float64(r.state.Busy + r.state.Waiting + r.ledger.used())
	e := Estimate{Link: 2 * r.delay, AtUpstream: ahead}
	slots := float64(r.state.Slots)
	if req.Kind == config.KindService {
		e.Decode = defaultHolding.Seconds()
		e.Wait = slotWait(ahead, slots, e.Decode)
		return e
	}
	e.EngineSeconds = float64(req.PromptTokens) / cmp.Or(r.state.PrefillRate, defaultPrefillRate)
	e.Prefill = e.EngineSeconds
	e.Decode = answerTokens(req) / cmp.Or(r.state.DecodeRate, defaultDecodeRate)
	e.Wait = slotWait(ahead, slots, e.EngineSeconds+e.Decode)
	return e
}
