package fleet

import "time"

const (
	// returnedKept is for how long a view tells that a domain was evacuated.
	returnedTTL = time.Minute
	// heardEvery is in what time a cold upstream writes its entry anew and the change is read, with
	// some room: an upstream reports once in 1.2 s.
	coldReportInterval = 1500 * time.Millisecond
)

// InheritHistory takes over what the view before this one tells of the past; last may be nil. It must be
// called before the view is shared.
func (v *View) InheritHistory(last *View, now time.Time) {
	v.Returned = make(map[string]time.Time)
	if last == nil {
		return
	}
	if now.Sub(last.HistoryLost) < returnedTTL {
		v.HistoryLost = last.HistoryLost
	}
	for domain, since := range last.Returned {
		if now.Sub(since) < returnedTTL {
			v.Returned[domain] = since
		}
	}
	for domain, evacuated := range last.Evacuated {
		if evacuated {
			v.Returned[domain] = now
		}
	}
	for domain, evacuated := range v.Evacuated {
		if evacuated {
			delete(v.Returned, domain)
		}
	}
}

// UncertainSince returns since when it is not known whether an upstream is cold; zero: it is known. That is
// so since the store lacks its entry; since its domain is back from an evacuation, which may leave
// upstreams cold, as long as its entry is older, or since such an evacuation may have come and gone
// unseen; and since the end of a cold time of which it has
// said nothing for longer than it is silent at that time.
func (v *View) UncertainSince(upstream *Upstream, now time.Time) time.Time {
	since := upstream.Missing
	if len(v.Returned) == 0 {
		// The usual case.
	} else if returned := v.Returned[upstream.Domain]; returned.After(since) && !upstream.Heard.After(returned) {
		since = returned
	}
	if v.HistoryLost.After(since) && !upstream.Heard.After(v.HistoryLost) {
		since = v.HistoryLost
	}
	end := upstream.ColdUntil
	if !now.Before(end) && end.After(since) && end.Sub(upstream.Heard) > coldReportInterval {
		since = end
	}
	return since
}
