package daemon

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/release"
)

// noteSource provides the release notes of this daemon to other daemons.
type noteSource struct {
	follower *release.Follower
}

// InForce returns the number in force at this daemon, or zero if none is known.
func (source noteSource) InForce() uint64 {
	state, _ := source.follower.InForce()
	return state.Number
}

// Since returns the changes after a number, as JSON of a release.Update.
func (source noteSource) Since(ctx context.Context, after uint64) (peer.Changes, error) {
	update, err := source.follower.Since(ctx, after)
	if err != nil {
		return peer.Changes{}, err
	}
	content, err := json.Marshal(update)
	if err != nil {
		return peer.Changes{}, trace.Wrap(err)
	}
	return peer.Changes{InForce: update.Number, Snapshot: len(update.Whole) > 0, Content: content}, nil
}

// peerNotes fetches release notes from one other daemon.
type peerNotes struct {
	node    *peer.Node
	address string
}

// Since fetches the changes after the number from the other daemon. It fails if the call fails or the
// content is not a release.Update.
func (notes peerNotes) Since(ctx context.Context, number uint64) (release.Update, error) {
	changes, err := notes.node.Changes(ctx, notes.address, number)
	if err != nil {
		return release.Update{}, trace.Wrap(err)
	}
	var update release.Update
	if err := json.Unmarshal(changes.Content, &update); err != nil {
		return release.Update{}, trace.Wrap(err)
	}
	return update, nil
}
