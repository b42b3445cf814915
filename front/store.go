package front

import (
	"context"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/roster"
)

// storeResponded records that the store answered.
func (daemon *Daemon) storeResponded() {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.storeSeen = daemon.clock.Now()
	if daemon.storeLost {
		daemon.storeLost = false
		event.StoreRegained.Log("Store", daemon.settings.StoreAddress)
	}
	if daemon.storeSilent {
		daemon.storeSilent = false
		daemon.storeTurned.notify()
	}
}

// eraLogInterval is the shortest time between two log lines about unusable eras.
const eraLogInterval = 5 * time.Second

// eraLog logs what the responses of the store state about its era.
type eraLog struct {
	daemon *Daemon
	mutex  sync.Mutex
	// loggedAt is when the last line about an unusable era was logged, and unusable counts them.
	loggedAt time.Time
	unusable int
}

// EraRose records and logs that the store came back from an older copy.
func (log *eraLog) EraRose(before, era uint64) {
	log.daemon.origins.Doubt(log.daemon.clock.Now().Add(roster.RewriteTime))
	version, _ := log.daemon.roster.Version()
	event.StoreRestored.Log("Era", era, "Before", before, "Roster", version.String(), "StoreAge", log.daemon.storeAge())
}

// EraProblem counts and logs a response without a usable era.
func (log *eraLog) EraProblem(problem platform.EraProblem, known uint64) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.unusable++
	now := log.daemon.clock.Now()
	if !log.loggedAt.IsZero() && now.Sub(log.loggedAt) < eraLogInterval {
		return
	}
	log.loggedAt = now
	event.EraUnusable.Log("Problem", string(problem), "Era", known, "Count", log.unusable)
}

// minSilence is how long a call to the store goes without a response before its failure counts as silence. A refusal comes sooner.
const minSilence = 400 * time.Millisecond

// storeFailed records that a call to the store failed, which began at the time. It says nothing of the store if that answered another
// call meanwhile.
func (daemon *Daemon) storeFailed(err error, table string, begun time.Time) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if daemon.storeSeen.After(begun) {
		return
	}
	if !daemon.storeSilent && daemon.clock.Since(begun) >= minSilence {
		daemon.storeSilent = true
		daemon.pool.CloseUnused(daemon.settings.StoreAddress)
		daemon.storeTurned.notify()
	}
	if !daemon.storeLost {
		daemon.storeLost = true
		daemon.updates.notify()
		event.StoreLost.LogError(err, "Store", daemon.settings.StoreAddress, "Table", table, "HeardAgo", daemon.clock.Since(daemon.storeSeen))
	}
}

func (daemon *Daemon) isStoreLost() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.storeLost
}

// storeAge returns the time since the store last answered this daemon.
func (daemon *Daemon) storeAge() time.Duration {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.clock.Since(daemon.storeSeen)
}

// replicasResponded records that the store answered a call for the replica table.
func (daemon *Daemon) replicasResponded() {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.replicasSeen = daemon.clock.Now()
}

// replicasAge returns the time since the store last answered this daemon a call for the replica table.
func (daemon *Daemon) replicasAge() time.Duration {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.clock.Since(daemon.replicasSeen)
}

// sleep waits for the pause or the end of the context.
func (daemon *Daemon) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	daemon.waitOrSleep(ctx, nil, pause)
}

// waitOrSleep waits for the signal, the end of the pause or the end of the context. A nil signal is ignored.
func (daemon *Daemon) waitOrSleep(ctx context.Context, signal <-chan struct{}, pause time.Duration) {
	timer := daemon.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-signal:
	case <-ctx.Done():
	}
}
