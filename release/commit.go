package release

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// commit runs the transaction that moves the number in force. The transaction requires the version of the row in force
// that was read and an unused identifier, so it takes effect at most once and can be retried after an unclear result.
func (acceptance *acceptance) commit(ctx context.Context, entry Entry, version datastore.Version) (Entry, bool, error) {
	writes, err := commitWrites(entry, version)
	if err != nil {
		return Entry{}, false, acceptance.outcomeError(err)
	}
	err = acceptance.retry(ctx, func() error {
		_, err := acceptance.tables.Commit(ctx, writes)
		acceptance.unclear = acceptance.unclear || errors.Is(err, datastore.ErrUnclear)
		return trace.Wrap(err)
	})
	switch {
	case err == nil:
		return entry, false, nil
	case errors.Is(err, datastore.ErrConflict):
		return acceptance.resolveSuperseded(ctx)
	case acceptance.unclear:
		return acceptance.resolveUnclear(ctx, err)
	default:
		return Entry{}, false, acceptance.outcomeError(err)
	}
}

// resolveUnclear handles a transaction whose result stayed unclear after all retries, by reading the rows that it
// writes. While the base is in force and the identifier is unused, the transaction may still take effect, and the
// result remains unclear.
func (acceptance *acceptance) resolveUnclear(ctx context.Context, unclear error) (Entry, bool, error) {
	entry, found, err := acceptance.findAccepted(ctx)
	if err != nil || found {
		return entry, false, err
	}
	head, _, err := acceptance.readHead(ctx)
	if err != nil || head.Number == acceptance.note.Base {
		return Entry{}, false, acceptance.outcomeError(unclear)
	}
	return acceptance.resolveSuperseded(ctx)
}

// resolveSuperseded determines, once the base is no longer in force, whether this note or another one was accepted. It
// reads the identifier after the number, since the same note may be accepted through another ledger between the two
// reads. No transaction of this acceptance can take effect any more.
func (acceptance *acceptance) resolveSuperseded(ctx context.Context) (Entry, bool, error) {
	entry, found, err := acceptance.findAccepted(ctx)
	if err != nil || found {
		return entry, found && !acceptance.unclear, err
	}
	acceptance.unclear = false
	head, _, err := acceptance.readHead(ctx)
	if err != nil {
		// The base was in force when it was read, and its row has changed since, so that the number is higher.
		return Entry{}, false, conflictOutcome(&ConflictError{Base: acceptance.note.Base, InForce: acceptance.note.Base + 1})
	}
	return Entry{}, false, acceptance.conflict(ctx, acceptance.note.Base, head)
}

// commitWrites returns the writes of the transaction: the row in force at the version, and new rows for the history
// and the identifier.
func commitWrites(entry Entry, version datastore.Version) ([]datastore.Write, error) {
	value, err := json.Marshal(entry)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return []datastore.Write{
		{Key: inForceKey, Check: true, IfVersion: version, Value: value},
		{Key: historyKey(entry.Number), Check: true, Value: value},
		{Key: idKey(entry.Note), Check: true, Value: value},
	}, nil
}
