package route

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
)

// choosePool returns the pool for a request: that of the version that it selects, or one
// drawn by the declared percents among the versions that have a usable pool; nil if there
// is none.
func (t *Table) choosePool(req *Request, placement []string, here bool, now time.Time) *pool {
	if req.Kind == config.KindService || req.Version != "" {
		return t.usablePool(poolID{req.Serves, req.Version}, req, placement, here, now)
	}
	versions := t.models[req.Serves].Versions
	sum := 0
	for i := range versions {
		if t.usablePool(poolID{req.Serves, versions[i].Name}, req, placement, here, now) != nil {
			sum += versions[i].Percent
		}
	}
	if sum == 0 {
		return nil
	}
	point := int(req.SplitRandom % uint64(sum))
	for i := range versions {
		p := t.usablePool(poolID{req.Serves, versions[i].Name}, req, placement, here, now)
		if p == nil {
			continue
		}
		if point < versions[i].Percent {
			return p
		}
		point -= versions[i].Percent
	}
	return nil
}

// usablePool returns the pool if it has something usable that the request may use.
func (t *Table) usablePool(id poolID, req *Request, placement []string, here bool, now time.Time) *pool {
	p := t.pools[id]
	if p == nil {
		return nil
	}
	if here && len(p.locals) > 0 {
		return p
	}
	if req.Class == ClassDomain {
		return nil
	}
	for i := range p.remotes {
		if r := &p.remotes[i]; r.fresh(now) && t.permitted(req, placement, r.digest.Region) {
			return p
		}
	}
	return nil
}
