package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
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
}

// storeFailed records that a call to the store failed.
func (daemon *Daemon) storeFailed(err error, table string) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
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
