package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
)

// A few daemons of each data centre read the tables of the platform's store; the others wait for their answers, so that
// the calls to the store do not grow with the number of daemons. A daemon reads the tables itself as soon as it hears
// nothing new enough from those.
const (
	// readersPerDataCentre is the number of daemons of a data centre that read the tables, and readersAsked that of those that
	// are asked, the first by name.
	readersPerDataCentre = 2
	readerCandidates     = 4
	// readerWait is how long a reader may wait with an answer if nothing changed.
	readerWait = 700 * time.Millisecond
	// readerBackoff is how long a reader that did not answer is not asked.
	readerBackoff = 3 * time.Second
	// maxStoreAge is the age of what is known of the store from which a daemon reads it itself and asks all others.
	// It is longer than the pause between two answers of the store while nothing changes.
	maxStoreAge = 2600 * time.Millisecond
	// sourceCheckInterval is the interval of looking whether this daemon reads the tables itself.
	sourceCheckInterval = 200 * time.Millisecond
)

// readsStore reports whether this daemon reads the tables itself: if it is a reader or sends orders, if who sent them fell
// silent, and if the readers do not tell it what is new.
func (daemon *Daemon) readsStore() bool {
	if !daemon.isReady() || daemon.relayedStoreAge() > maxStoreAge || daemon.holderLost() {
		return true
	}
	if _, owned := daemon.lease.Owned(); owned {
		return true
	}
	return daemon.isReader.Load()
}

// holderLost reports whether the holder of the lease fell silent, so that rows tell what engines hold. Before the first
// holder nothing changes what they hold.
func (daemon *Daemon) holderLost() bool {
	heard := daemon.directory.HolderLastSeen()
	return !heard.IsZero() && daemon.clock.Since(heard) > holderTimeout
}

// updateReaderRole notes whether this daemon is one of the readers of its data centre.
func (daemon *Daemon) updateReaderRole() {
	daemon.isReader.Store(daemon.rankAmong(daemon.localPeers()) < readersPerDataCentre)
}

// localPeers returns the other daemons of the data centre that are not about to stop, ordered by name.
func (daemon *Daemon) localPeers() []mesh.Peer {
	var near []mesh.Peer
	for _, live := range daemon.mesh.Live() {
		if live.DataCentre == daemon.settings.DataCentre && !live.Leaving {
			near = append(near, live)
		}
	}
	return near
}

// pollReaders keeps asking the readers of the data centre for what is new, unless this daemon is one of them.
func (daemon *Daemon) pollReaders(ctx context.Context) error {
	// resting maps readers that did not answer to when they are asked again.
	resting := map[string]time.Time{}
	for ctx.Err() == nil {
		if !daemon.isReady() || daemon.isReader.Load() || !daemon.pollFirstReader(ctx, resting) {
			daemon.sleep(ctx, sourceCheckInterval)
		}
	}
	return ctx.Err()
}

// pollFirstReader asks the first reader that does not rest, and reports whether it answered with what the store said lately.
func (daemon *Daemon) pollFirstReader(ctx context.Context, resting map[string]time.Time) bool {
	near := daemon.localPeers()
	for _, reader := range near[:min(len(near), readerCandidates)] {
		if daemon.clock.Now().Before(resting[reader.Address]) {
			continue
		}
		if daemon.pollReader(ctx, reader) {
			delete(resting, reader.Address)
			return true
		}
		resting[reader.Address] = daemon.clock.Now().Add(readerBackoff)
		return false
	}
	return false
}

// pollReader takes what the reader knows more, and reports whether the store spoke to it lately.
func (daemon *Daemon) pollReader(ctx context.Context, reader mesh.Peer) bool {
	own := daemon.state()
	question := mesh.UpdateRequest{ConfigurationVersion: own.ConfigurationVersion, RosterVersion: own.RosterVersion, Wait: readerWait}
	answer, err := daemon.mesh.FetchUpdate(ctx, reader.Address, question)
	if err == nil && !answer.StoreLost && answer.StoreAge <= maxStoreAge {
		daemon.applyUpdate(answer, reader.Name)
		daemon.readerResponded(answer.StoreAge, reader.Name)
		return true
	}
	if ctx.Err() == nil {
		event.ReaderLost.LogError(err, "Daemon", reader.Name, "StoreLost", answer.StoreLost, "StoreAge", answer.StoreAge)
	}
	return false
}

// readerResponded notes that a reader told what the store said a while ago.
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

// relayedStoreAge returns the age of what readers told.
func (daemon *Daemon) relayedStoreAge() time.Duration {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.clock.Since(daemon.relayedStoreSeen)
}

// dataAge returns the age of what this daemon knows of the store, by whatever way.
func (daemon *Daemon) dataAge() time.Duration {
	return min(daemon.storeAge(), daemon.relayedStoreAge())
}
