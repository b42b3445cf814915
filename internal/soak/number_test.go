package soak

import "time"

// numberInterval is the time between two polls of the number in force at a daemon.
const numberInterval = 2 * time.Second

// watchNumber checks that the number in force at the daemon of an entry never falls while its VM stays the same.
func (checker *checker) watchNumber(entry *entry, end time.Time) {
	var generation int32
	var highest uint64
	for time.Now().Before(end) {
		time.Sleep(numberInterval)
		now := entry.generation.Load()
		report, ok := checker.testbed.report(entry)
		if !ok || now != entry.generation.Load() {
			continue
		}
		if now != generation {
			generation, highest = now, 0
		}
		if report.InForce.Number < highest {
			checker.recordViolation("the number in force at %s fell from %d to %d", hostOf(entry), highest, report.InForce.Number)
		}
		highest = max(highest, report.InForce.Number)
	}
}

// expectInForce checks that a note that was just accepted is in force within noteBound at every daemon that could reach
// the platform all that time.
func (checker *checker) expectInForce(number uint64) {
	accepted := time.Now()
	hosts := map[*entry]string{}
	for _, entry := range checker.testbed.entries {
		if report, ok := checker.testbed.report(entry); ok && report.InForce.Known {
			hosts[entry] = hostOf(entry)
		}
	}
	time.Sleep(time.Until(accepted.Add(noteBound)))
	for entry, host := range hosts {
		report, ok := checker.testbed.report(entry)
		if !ok || host != hostOf(entry) || !checker.testbed.reachedPlatform(entry, host, accepted) {
			continue
		}
		checker.count("note checked")
		if report.InForce.Number < number {
			checker.recordViolation("%s has number %d in force %s after note %d was accepted", host, report.InForce.Number, noteBound, number)
		}
	}
}

// reachedPlatform reports whether the daemon could reach the platform, and the platform had no fault, since the time.
func (testbed *testbed) reachedPlatform(entry *entry, host string, since time.Time) bool {
	testbed.lock.Lock()
	healthy := !testbed.platformHealthySince.IsZero() && !testbed.platformHealthySince.After(since)
	running := entry.inService && !entry.frozenUntil.After(since)
	testbed.lock.Unlock()
	return healthy && running && testbed.network.connectedSince(host, platformHost, since)
}
