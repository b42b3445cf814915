package front

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/platform"
)

// fallbackStore accesses the platform's store directly, or through another daemon while the store does not
// answer this one. Transactions check the versions of their rows, so either daemon may send them.
type fallbackStore struct {
	direct, viaPeer mesh.RowStore
	// lost reports whether the store does not answer this daemon.
	lost func() bool
	// eras is the era of the store; nil means that it has none.
	eras *platform.EraTracker
}

// Era returns the era of the store.
func (fallback *fallbackStore) Era() uint64 {
	if fallback.eras == nil {
		return 0
	}
	return fallback.eras.Era()
}

// Read returns one row. It tries the second path if the first is unavailable.
func (fallback *fallbackStore) Read(ctx context.Context, key datastore.Key) (datastore.Row, error) {
	first, second := fallback.order()
	row, err := first.Read(ctx, key)
	if errors.Is(err, datastore.ErrUnavailable) {
		return second.Read(ctx, key)
	}
	return row, err
}

// Commit applies all writes or none. It tries the second path only if the first failed with
// datastore.ErrUnavailable, that is, if nothing was written.
func (fallback *fallbackStore) Commit(ctx context.Context, writes []datastore.Write) ([]datastore.Version, error) {
	first, second := fallback.order()
	versions, err := first.Commit(ctx, writes)
	if errors.Is(err, datastore.ErrUnavailable) {
		return second.Commit(ctx, writes)
	}
	return versions, err
}

func (fallback *fallbackStore) order() (first, second mesh.RowStore) {
	if fallback.lost() {
		return fallback.viaPeer, fallback.direct
	}
	return fallback.direct, fallback.viaPeer
}

// maxPeerStoreAge is the longest time since the store answered a daemon for which that daemon is asked to
// forward calls to it.
const maxPeerStoreAge = 3 * time.Second

// storePeerAddress returns the address of storePeer.
func (daemon *Daemon) storePeerAddress() (string, bool) {
	peer, found := daemon.storePeer()
	return peer.Address, found
}

// storePeer returns the daemon that the store answered last, and whether there is one.
func (daemon *Daemon) storePeer() (mesh.Peer, bool) {
	best, found := mesh.Peer{}, false
	for _, peer := range daemon.mesh.Live() {
		if peer.StoreAge <= maxPeerStoreAge && !peer.Leaving && (!found || peer.StoreAge < best.StoreAge) {
			best, found = peer, true
		}
	}
	return best, found
}
