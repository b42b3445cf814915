package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
)

// hearStore notes that the store answered.
func (daemon *Daemon) hearStore() {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.heard = daemon.clock.Now()
	if daemon.storeLost {
		daemon.storeLost = false
		event.StoreRegained.Log("Store", daemon.settings.StoreAddress)
	}
}

// missStore notes that the store did not answer.
func (daemon *Daemon) missStore(err error, table string) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if !daemon.storeLost {
		daemon.storeLost = true
		daemon.news.tell()
		event.StoreLost.LogError(err, "Store", daemon.settings.StoreAddress, "Table", table, "HeardAgo", daemon.clock.Since(daemon.heard))
	}
}

func (daemon *Daemon) isStoreLost() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.storeLost
}

// storeAge returns the time since the store last answered.
func (daemon *Daemon) storeAge() time.Duration {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.clock.Since(daemon.heard)
}

// sleep waits for the time or the end of the context.
func (daemon *Daemon) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	daemon.await(ctx, nil, pause)
}

// await waits for the signal, unless that is nil, the end of the pause or that of the context.
func (daemon *Daemon) await(ctx context.Context, signal <-chan struct{}, pause time.Duration) {
	timer := daemon.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-signal:
	case <-ctx.Done():
	}
}
