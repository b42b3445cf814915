package soak

import "time"

// numberEvery is the time between two looks at the number in force at a daemon.
const numberEvery = 2 * time.Second

// watchNumber checks that the number in force at a VM's daemon never falls.
func (judge *judge) watchNumber(entry *entry, end time.Time) {
	var generation int32
	var highest uint64
	for time.Now().Before(end) {
		time.Sleep(numberEvery)
		now := entry.generation.Load()
		report, ok := judge.world.report(entry)
		if !ok || now != entry.generation.Load() {
			continue
		}
		if now != generation {
			generation, highest = now, 0
		}
		if report.InForce.Number < highest {
			judge.breach("the number in force at %s fell from %d to %d", hostOf(entry), highest, report.InForce.Number)
		}
		highest = max(highest, report.InForce.Number)
	}
}

// expect checks that a note that was accepted now is in force in time at every daemon that reached the
// platform all that time.
func (judge *judge) expect(number uint64) {
	accepted := time.Now()
	hosts := map[*entry]string{}
	for _, entry := range judge.world.entries {
		if report, ok := judge.world.report(entry); ok && report.InForce.Known {
			hosts[entry] = hostOf(entry)
		}
	}
	time.Sleep(time.Until(accepted.Add(noteBound)))
	for entry, host := range hosts {
		report, ok := judge.world.report(entry)
		if !ok || host != hostOf(entry) || !judge.world.reachedPlatform(entry, host, accepted) {
			continue
		}
		judge.count("note checked")
		if report.InForce.Number < number {
			judge.breach("%s has number %d in force %s after note %d was accepted", host, report.InForce.Number, noteBound, number)
		}
	}
}

// reachedPlatform reports whether a daemon could reach a platform without faults since the time.
func (world *world) reachedPlatform(entry *entry, host string, since time.Time) bool {
	world.lock.Lock()
	healthy := !world.platformHealthy.IsZero() && !world.platformHealthy.After(since)
	running := entry.inService && !entry.frozenUntil.After(since)
	world.lock.Unlock()
	return healthy && running && world.wires.joined(host, platformHost, since)
}
