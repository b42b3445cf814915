package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/platform"
)

// releaseReadInterval, times the number of daemons, is the shortest time between the begins of two reads of one daemon: it bounds the
// reads of all daemons together to 1,000 a second, also if clients take up streams that never were.
const releaseReadInterval = time.Millisecond

// releaseReader reads which releases have replicas when streams are taken up. There is one read at a time, and all requests that
// come before it begins share it.
type releaseReader struct {
	daemon *Daemon
	// turn has room for one read. Who has it may use begun, which is when the last read began.
	turn  chan struct{}
	begun time.Time

	mutex sync.Mutex
	// waiters receive whether the read succeeded that has not begun; there are none without such a read.
	waiters []chan<- bool
}

func newReleaseReader(daemon *Daemon) *releaseReader {
	return &releaseReader{daemon: daemon, turn: make(chan struct{}, 1)}
}

// refresh reads the releases by a read that begins after the call. The channel receives whether that succeeded and is closed. While
// the store is known not to answer, there is no read.
func (reader *releaseReader) refresh() <-chan bool {
	done := make(chan bool, 1)
	if reader.daemon.isStoreLost() {
		close(done)
		return done
	}
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if len(reader.waiters) == 0 {
		go reader.run()
	}
	reader.waiters = append(reader.waiters, done)
	return done
}

// run makes the next read in its turn.
func (reader *releaseReader) run() {
	reader.turn <- struct{}{}
	defer func() { <-reader.turn }()
	reader.daemon.clock.Sleep(reader.pause(reader.daemon.clock.Now()))
	reader.begun = reader.daemon.clock.Now()
	waiters := reader.begin()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	ok := reader.read(ctx) == nil
	for _, waiter := range waiters {
		waiter <- ok
		close(waiter)
	}
}

// pause returns the time until the next read may begin.
func (reader *releaseReader) pause(now time.Time) time.Duration {
	interval := releaseReadInterval * time.Duration(reader.daemon.daemonCount.Load())
	return max(interval-now.Sub(reader.begun), 0)
}

// begin returns those that wait for the read that begins now: those that come later share the next one.
func (reader *releaseReader) begin() []chan<- bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	waiters := reader.waiters
	reader.waiters = nil
	return waiters
}

// read reads what changed in the table since it was last read, or the whole table if the store does not know that. Decoding a row
// records its release.
func (reader *releaseReader) read(ctx context.Context) error {
	daemon := reader.daemon
	version, loaded := daemon.roster.Version()
	if !loaded {
		return reader.readAll(ctx)
	}
	changes, _, err := daemon.store.Changes(ctx, platform.ReplicaTable, version, 0)
	if errors.Is(err, platform.ErrHistoryUnavailable) {
		daemon.origins.MarkIncomplete()
		return reader.readAll(ctx)
	}
	added := map[string]bool{}
	for _, change := range changes {
		id := change.Row.Row
		if !change.Deleted {
			_, added[id] = daemon.decodeEntry(change.Row)
			continue
		}
		if !added[id] {
			daemon.doubtReleases(id)
		}
	}
	return err
}

// readAll reads the whole table.
func (reader *releaseReader) readAll(ctx context.Context) error {
	rows, _, err := reader.daemon.store.Snapshot(ctx, platform.ReplicaTable)
	reader.daemon.decodeEntries(rows)
	return err
}
