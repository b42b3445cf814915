package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
)

// A few daemons of each data centre, the readers, read the tables of the platform's store, and the others
// poll them, so that the number of store calls does not grow with the number of daemons. A daemon reads the
// tables itself when the readers' data is too old.
const (
	// readersPerDataCentre is the number of daemons of a data centre that read the tables. readerCandidates
	// is the number of daemons, the first by name, that others poll.
	readersPerDataCentre = 2
	readerCandidates     = 4
	// readerWait is the longest time that a reader delays its response if nothing changed.
	readerWait = 700 * time.Millisecond
	// readerBackoff is how long a reader is not polled after a failure.
	readerBackoff = 3 * time.Second
	// maxStoreAge is the age of the data from the store above which a daemon reads the store itself and
	// requests updates from all others. It is longer than the interval between two responses of the store
	// while nothing changes.
	maxStoreAge = 2600 * time.Millisecond
	// readerCheckInterval is the interval of checking whether this daemon reads the tables itself.
	readerCheckInterval = 200 * time.Millisecond
)

// readsStore reports whether this daemon reads the tables itself: if it is not ready, is a reader or holds
// the lease, if the lease holder does not respond, or if the readers' data is too old.
func (daemon *Daemon) readsStore() bool {
	if !daemon.isInformed() || daemon.relayedStoreAge() > maxStoreAge || daemon.holderLost() {
		return true
	}
	if _, owned := daemon.lease.Owned(); owned {
		return true
	}
	return daemon.readerRole.Load()
}

// holderLost reports whether the lease holder does not respond, so that the replica table is the only source
// of what engines hold. It is false before the first holder, since without a holder nothing changes what
// engines hold.
func (daemon *Daemon) holderLost() bool {
	lastSeen := daemon.directory.HolderLastSeen()
	return !lastSeen.IsZero() && daemon.clock.Since(lastSeen) > holderTimeout
}

// mayLoad reports whether some daemon may order loads: one holds the lease, or may acquire it since the store answers.
func (daemon *Daemon) mayLoad() bool {
	return !daemon.holderLost() || !daemon.isStoreLost()
}

// updateReaderRole sets whether this daemon is one of the readers of its data centre.
func (daemon *Daemon) updateReaderRole() {
	daemon.readerRole.Store(daemon.rankAmong(daemon.localPeers()) < readersPerDataCentre)
}

// localPeers returns the other live daemons of the data centre that are not shutting down, ordered by name.
func (daemon *Daemon) localPeers() []mesh.Peer {
	var peers []mesh.Peer
	for _, peer := range daemon.mesh.Live() {
		if peer.DataCentre == daemon.settings.DataCentre && !peer.Leaving {
			peers = append(peers, peer)
		}
	}
	return peers
}

// pollReaders polls the readers of the data centre for updates while this daemon is not one of them.
func (daemon *Daemon) pollReaders(ctx context.Context) error {
	// retryAt maps the addresses of readers that failed to the time at which they are polled again.
	retryAt := map[string]time.Time{}
	for ctx.Err() == nil {
		if !daemon.isInformed() || daemon.readerRole.Load() || !daemon.pollFirstReader(ctx, retryAt) {
			daemon.sleep(ctx, readerCheckInterval)
		}
	}
	return ctx.Err()
}

// pollFirstReader polls the first reader that is not in backoff, and reports whether it responded with recent
// data.
func (daemon *Daemon) pollFirstReader(ctx context.Context, retryAt map[string]time.Time) bool {
	peers := daemon.localPeers()
	for _, reader := range peers[:min(len(peers), readerCandidates)] {
		if daemon.clock.Now().Before(retryAt[reader.Address]) {
			continue
		}
		if daemon.pollReader(ctx, reader) {
			delete(retryAt, reader.Address)
			return true
		}
		retryAt[reader.Address] = daemon.clock.Now().Add(readerBackoff)
		return false
	}
	return false
}

// pollReader applies the update of the reader, and reports whether the store answered the reader recently.
func (daemon *Daemon) pollReader(ctx context.Context, reader mesh.Peer) bool {
	own := daemon.state()
	request := mesh.UpdateRequest{ConfigurationVersion: own.ConfigurationVersion, RosterVersion: own.RosterVersion, Wait: readerWait}
	asked := daemon.clock.Now()
	response, err := daemon.mesh.FetchUpdate(ctx, reader.Address, request)
	if err == nil && !response.StoreLost && response.StoreAge <= maxStoreAge {
		daemon.applyUpdate(response, reader.Name, asked)
		daemon.readerResponded(response.StoreAge, reader.Name)
		return true
	}
	if ctx.Err() == nil {
		event.ReaderLost.LogError(err, "Daemon", reader.Name, "StoreLost", response.StoreLost, "StoreAge", response.StoreAge)
	}
	return false
}

// readerResponded records that the reader relayed data which it had received from the store the given time
// ago.
func (daemon *Daemon) readerResponded(age time.Duration, reader string) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.relayedStoreSeen = daemon.clock.Now().Add(-age)
	if daemon.storeLost {
		daemon.storeLost = false
		event.StoreRegained.Log("Store", daemon.settings.StoreAddress, "Through", reader)
	}
	if daemon.currentReader != reader {
		daemon.currentReader = reader
		event.ReaderFound.Log("Daemon", reader, "StoreAge", age)
	}
}

// relayedStoreAge returns the age of the data that readers relayed.
func (daemon *Daemon) relayedStoreAge() time.Duration {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.clock.Since(daemon.relayedStoreSeen)
}

// dataAge returns the age of the newest replica table from the store, read directly or relayed.
func (daemon *Daemon) dataAge() time.Duration {
	return min(daemon.replicasAge(), daemon.relayedStoreAge())
}
