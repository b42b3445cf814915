package front

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/mesh"
)

// fallbackStore reaches the platform's store directly, or through another daemon while the store turns this one
// away. Transactions name the versions that rows must have, so it does not matter who sends them.
type fallbackStore struct {
	direct, viaPeer mesh.RowStore
	// lost reports whether the store does not answer this daemon.
	lost func() bool
}

// Read returns one row.
func (detour *fallbackStore) Read(ctx context.Context, key datastore.Key) (datastore.Row, error) {
	first, second := detour.order()
	row, err := first.Read(ctx, key)
	if errors.Is(err, datastore.ErrUnavailable) {
		return second.Read(ctx, key)
	}
	return row, err
}

// Commit applies all writes or none. It goes the second way only if the first proved that nothing was done.
func (detour *fallbackStore) Commit(ctx context.Context, writes []datastore.Write) ([]uint64, error) {
	first, second := detour.order()
	versions, err := first.Commit(ctx, writes)
	if errors.Is(err, datastore.ErrUnavailable) {
		return second.Commit(ctx, writes)
	}
	return versions, err
}

func (detour *fallbackStore) order() (first, second mesh.RowStore) {
	if detour.lost() {
		return detour.viaPeer, detour.direct
	}
	return detour.direct, detour.viaPeer
}

// maxPeerStoreAge is the age of the last answer of the store up to which another daemon is asked to call it.
const maxPeerStoreAge = 3 * time.Second

// storePeer returns the daemon that heard from the store last.
func (daemon *Daemon) storePeer() (string, bool) {
	best, found := mesh.Peer{}, false
	for _, peer := range daemon.mesh.Live() {
		if peer.StoreAge <= maxPeerStoreAge && !peer.Leaving && (!found || peer.StoreAge < best.StoreAge) {
			best, found = peer, true
		}
	}
	return best.Address, found
}
