package front

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/internal/openjson"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

// A client may send a request that crashes replicas again, to any daemon. Daemons share each crash in their
// greetings. A request that crashed several replicas is also recorded in the platform's store, for daemons
// that start later or that greetings do not reach.
const (
	// crashLimit is the number of crashed replicas from which a request is rejected.
	crashLimit = 3
	// suspectTable holds one row for each request, or part of prompts, that crashed several replicas. The key is its
	// fingerprint in hexadecimal, after partRowPrefix for a part.
	suspectTable  = "Suspects"
	partRowPrefix = "part-"
	// suspectsPerGreeting is the largest number of suspects in one greeting.
	suspectsPerGreeting = 32
	// suspectWait is the longest time that the store delays its response if the suspect table does not
	// change.
	suspectWait = 10 * time.Second
	// recordPause is the pause between two writes to the suspect table, and recordRetryPause the pause after
	// a failed one.
	recordPause      = 50 * time.Millisecond
	recordRetryPause = 400 * time.Millisecond
	// maxUnrecorded is the largest number of suspects that wait to be recorded; further ones are dropped.
	maxUnrecorded = 64
	// expiryInterval is the interval of checking for expired rows of the suspect table.
	expiryInterval = time.Minute
)

// suspectsToShare returns the suspects for the next greeting.
func (daemon *Daemon) suspectsToShare() []quarantine.Suspect {
	return daemon.suspects.Share(suspectsPerGreeting, daemon.clock.Now())
}

// receiveSuspects imports the suspects in a greeting of another daemon.
func (daemon *Daemon) receiveSuspects(suspects []quarantine.Suspect) {
	daemon.importSuspects(suspects, "Daemon")
}

func (daemon *Daemon) importSuspects(suspects []quarantine.Suspect, source string) {
	for _, suspect := range daemon.suspects.Import(suspects, daemon.clock.Now()) {
		event.SuspectLearnt.Log("Kind", suspect.Kind, "Fingerprint", suspect.Fingerprint, "Crashes", len(suspect.Crashes), "Source", source)
	}
}

// partTurn returns how many daemons may try a refused part of prompts before this one.
func (daemon *Daemon) partTurn(part uint64) int {
	count := int64(max(daemon.daemonCount.Load(), 1))
	first := int64(part % uint64(count))
	return int((daemon.daemonIndex.Load() - first + count) % count)
}

// countReplicaEnd counts the unannounced end of an incarnation against the requests that it had not responded
// to.
func (daemon *Daemon) countReplicaEnd(replica *topology.Replica) {
	if replica.Draining || daemon.notices.Leaving(replica.Incarnation) {
		return
	}
	for _, fingerprint := range daemon.suspects.ReplicaEnded(relay.CrashOf(replica.Incarnation), daemon.clock.Now()) {
		event.EndCounted.Log("Fingerprint", fingerprint, "Replica", replica.ID, "Born", replica.Started)
	}
}

// watchSuspects imports the suspects that are recorded in the store. Every daemon reads the table once; those
// that read the store's tables also watch it for changes.
func (daemon *Daemon) watchSuspects(ctx context.Context) error {
	loaded := false
	apply := func(row datastore.Row) {
		suspect, err := decodeSuspect(row, daemon.clock.Now())
		if err != nil {
			event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version.String())
			return
		}
		daemon.suspectRows.track(row.Row, row.Version, daemon.clock.Now())
		daemon.importSuspects([]quarantine.Suspect{suspect}, "Store")
	}
	watcher := &tableWatcher{
		daemon: daemon,
		table:  suspectTable,
		wait:   suspectWait,
		active: func() bool { return !loaded || daemon.readsStore() },
		onSnapshot: func(rows []datastore.Row, _ datastore.Version) {
			loaded = true
			for _, row := range rows {
				apply(row)
			}
		},
		onRestored: daemon.recordSuspectsAgain,
		onChanges: func(changes []platform.Change, _ datastore.Version) {
			for _, change := range changes {
				if change.Deleted {
					daemon.suspectRows.forget(change.Row.Row)
				} else {
					apply(change.Row)
				}
			}
		},
	}
	return watcher.run(ctx)
}

// recordSuspectsAgain records all refused suspects in a store that came back from an older copy, in which some may be gone.
// Only the first daemon by name does so.
func (daemon *Daemon) recordSuspectsAgain() {
	if daemon.daemonIndex.Load() == 0 {
		daemon.suspects.RecordRefused(daemon.clock.Now())
	}
}

// runSuspectRecorder records requests that crashed several replicas whenever this daemon counts another
// crash, and removes expired rows.
func (daemon *Daemon) runSuspectRecorder(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	pending := map[uint64]bool{}
	for {
		var retry <-chan time.Time
		if len(pending) > 0 {
			retry = daemon.clock.After(recordRetryPause)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
			daemon.removeExpiredRows(ctx)
		case <-daemon.suspects.Pending():
		case <-retry:
		}
		for _, suspect := range daemon.suspects.Unrecorded() {
			if len(pending) >= maxUnrecorded {
				event.SuspectUnrecorded.Log("Fingerprint", suspect.Fingerprint, "Waiting", len(pending), "Dropped", true)
				continue
			}
			pending[suspect.Fingerprint] = true
			daemon.logVerdict(suspect)
		}
		daemon.recordPending(ctx, pending)
	}
}

// recordPending records the pending suspects and removes them from the map. It returns at the first failure.
func (daemon *Daemon) recordPending(ctx context.Context, pending map[uint64]bool) {
	for fingerprint := range pending {
		if err := daemon.recordSuspect(ctx, fingerprint); err != nil {
			event.SuspectUnrecorded.LogError(err, "Fingerprint", fingerprint, "Waiting", len(pending))
			return
		}
		delete(pending, fingerprint)
		daemon.sleep(ctx, recordPause)
	}
}

// logVerdict logs whether a suspect that changed is refused.
func (daemon *Daemon) logVerdict(suspect quarantine.Suspect) {
	_, refused := daemon.suspects.Refused(suspect.Fingerprint, daemon.clock.Now())
	switch {
	case refused:
		event.SuspectRefused.Log("Kind", suspect.Kind, "Fingerprint", suspect.Fingerprint, "Crashes", len(suspect.Crashes),
			"Replicas", crashedReplicas(suspect), "Cleared", len(suspect.Cleared))
	case len(suspect.Cleared) > 0 || len(suspect.Retracted) > 0:
		event.SuspectReleased.Log("Kind", suspect.Kind, "Fingerprint", suspect.Fingerprint, "Cleared", len(suspect.Cleared), "Retracted", len(suspect.Retracted))
	}
}

// crashedReplicas lists the replicas that ended under a suspect, for logs.
func crashedReplicas(suspect quarantine.Suspect) string {
	names := make([]string, 0, len(suspect.Crashes))
	for _, crash := range suspect.Crashes {
		names = append(names, crash.Upstream)
	}
	return strings.Join(names, ",")
}

// recordSuspect merges the crashes that this daemon knows into the row of the suspect. It writes only if it
// knows other crashes than the row holds.
func (daemon *Daemon) recordSuspect(ctx context.Context, fingerprint uint64) error {
	suspect, known := daemon.suspects.Suspect(fingerprint, daemon.clock.Now())
	if !known {
		return nil
	}
	key := suspectKey(suspect)
	row, err := daemon.rowStore.Read(ctx, key)
	if err != nil && !errors.Is(err, datastore.ErrNotFound) {
		return err
	}
	var recorded quarantine.Suspect
	var rest openjson.Rest
	if err == nil {
		// A row that cannot be decoded is replaced.
		if decoded, unknown, failure := decodeSuspectRow(row, daemon.clock.Now()); failure == nil {
			daemon.importSuspects([]quarantine.Suspect{decoded}, "Store")
			recorded, rest = decoded, unknown
		}
	}
	suspect, known = daemon.suspects.Suspect(fingerprint, daemon.clock.Now())
	if !known || suspect.SameCounts(&recorded) {
		return nil
	}
	value, err := openjson.Encode(newSuspectContent(suspect, daemon.clock.Now()), rest)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := daemon.rowStore.Commit(ctx, []datastore.Write{{Key: key, Check: true, IfVersion: row.Version, Value: value}}); err != nil {
		return err
	}
	event.SuspectRecorded.Log("Kind", suspect.Kind, "Fingerprint", fingerprint, "Crashes", len(suspect.Crashes))
	return nil
}
