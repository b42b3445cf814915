package rollout

import "time"

// release is what is known of one release of a service.
type release struct {
	// accepting is the number of replicas that accept new requests.
	accepting int
	// joined is when that number last rose; zero if it did not since the first observation.
	joined time.Time
	// departures lists, from the oldest on, when replicas left that no other of the release has replaced since.
	departures []time.Time
}

// observe records the number of replicas. begun is not set for the first observation of all.
func (release *release) observe(accepting int, begun bool, now time.Time) {
	if accepting > release.accepting && begun {
		release.joined = now
		release.replace(accepting - release.accepting)
	}
	for range release.accepting - accepting {
		release.departures = append(release.departures, now)
	}
	release.accepting = accepting
	for len(release.departures) > 0 && now.Sub(release.departures[0]) >= Window {
		release.departures = release.departures[1:]
	}
}

// replace drops the latest departures: replicas that crashed and started again have not left.
func (release *release) replace(count int) {
	release.departures = release.departures[:max(len(release.departures)-count, 0)]
}

// lastDeparture returns when a replica left last; zero if none did within Window.
func (release *release) lastDeparture(now time.Time) time.Time {
	if len(release.departures) == 0 {
		return time.Time{}
	}
	last := release.departures[len(release.departures)-1]
	if now.Sub(last) >= Window {
		return time.Time{}
	}
	return last
}

// grows reports whether replicas are there and some joined within Window.
func (release *release) grows(now time.Time) bool {
	return release.accepting > 0 && !release.joined.IsZero() && now.Sub(release.joined) < Window
}

// yieldsTo reports whether the release lost a replica later than the growing one did.
func (release *release) yieldsTo(growing *release, now time.Time) bool {
	last := release.lastDeparture(now)
	return !last.IsZero() && growing.lastDeparture(now).Before(last)
}

// end returns when the last replica leaves if all leave at the pace of those that left within Window. A longer time without a departure
// is a slower pace. One departure must have been observed.
func (release *release) end(now time.Time) time.Time {
	pace := now.Sub(release.departures[0]) / time.Duration(len(release.departures))
	return now.Add(time.Duration(release.accepting) * pace)
}

// isOver reports whether the release has no replica and its departures count no more.
func (release *release) isOver(now time.Time) bool {
	return release.accepting == 0 && release.lastDeparture(now).IsZero()
}
