package fleet

import "time"

const (
	// returnedTTL is the time for which a view records that a domain was evacuated.
	returnedTTL = time.Minute
	// coldReportInterval is the time, with some margin, within which a cold upstream rewrites
	// its entry and the change is read: an upstream reports every 1.2 s.
	coldReportInterval = 1500 * time.Millisecond
)

// InheritHistory copies the history of the previous view; last may be nil. It must be called
// before the view is shared.
func (v *View) InheritHistory(last *View, now time.Time) {
	v.Readmitted = make(map[string]time.Time)
	v.inheritSoftware(last, now)
	if last == nil {
		return
	}
	v.inheritDraining(last, now)
	if now.Sub(last.HistoryLost) < returnedTTL {
		v.HistoryLost = last.HistoryLost
	}
	for domain, since := range last.Readmitted {
		if now.Sub(since) < returnedTTL {
			v.Readmitted[domain] = since
		}
	}
	for domain, evacuated := range last.Evacuated {
		if evacuated {
			v.Readmitted[domain] = now
		}
	}
	for domain, evacuated := range v.Evacuated {
		if evacuated {
			delete(v.Readmitted, domain)
		}
	}
}

// inheritDraining sets the times since which upstreams drain.
func (v *View) inheritDraining(last *View, now time.Time) {
	for i := range v.Upstreams {
		upstream := &v.Upstreams[i]
		previous := last.Find(upstream.ID)
		switch {
		case !upstream.Draining || previous == nil:
		case previous.Draining:
			upstream.DrainingSince = previous.DrainingSince
		default:
			upstream.DrainingSince = now
		}
	}
}

// DoubtfulSince returns the time of the last event after which an upstream may be cold; zero if there is
// none. Its entry in the store proves nothing about the time after that: it may have been written before, and
// read late, or copied. The events are that its entry was found missing, that its domain returned from an
// evacuation, or may have done so unseen, and the end of its last known cold period.
func (v *View) DoubtfulSince(upstream *Upstream, now time.Time) time.Time {
	since := upstream.Missing
	for _, event := range [...]time.Time{v.Readmitted[upstream.Domain], v.HistoryLost, upstream.ColdUntil} {
		if event.After(since) && !now.Before(event) {
			since = event
		}
	}
	return since
}

// UncertainSince returns the time since which it is unknown whether an upstream is cold; zero if
// it is known. It is unknown since the store lacks the upstream's entry; since its domain
// returned from an evacuation, which may leave upstreams cold, while its entry is older; since
// such an evacuation may have started and ended unseen; and since the end of a cold period of
// which it has not reported for longer than its report interval then.
func (v *View) UncertainSince(upstream *Upstream, now time.Time) time.Time {
	since := upstream.Missing
	if len(v.Readmitted) == 0 {
		// The usual case.
	} else if returned := v.Readmitted[upstream.Domain]; returned.After(since) && !upstream.EntryReadAt.After(returned) {
		since = returned
	}
	if v.HistoryLost.After(since) && !upstream.EntryReadAt.After(v.HistoryLost) {
		since = v.HistoryLost
	}
	end := upstream.ColdUntil
	if !now.Before(end) && end.After(since) && end.Sub(upstream.EntryReadAt) > coldReportInterval {
		since = end
	}
	return since
}
