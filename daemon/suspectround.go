package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/quarantine"
)

// roundGap is the time in which suspects join one round of telling. A crash marks a whole batch at once.
const roundGap = 5 * time.Millisecond

// suspectRound is one call to each known daemon with all suspects that were marked within the gap.
type suspectRound struct {
	// suspects grow until the round starts.
	suspects []quarantine.Suspect
	// done is closed when each daemon took the suspects or failed.
	done chan struct{}
}

// Publish tells every known daemon at once, also those of other data centres, since their requests
// may overflow to the same upstreams. It returns when each took the suspects or failed, or when ctx
// ends. A daemon that failed learns them with the next exchange. Suspects that are published within
// the gap share one call to each daemon.
func (suspects *suspects) Publish(ctx context.Context, known []quarantine.Suspect) {
	round := suspects.join(known)
	select {
	case <-round.done:
	case <-ctx.Done():
	}
}

// join adds the suspects to the round that still takes some, and starts one if there is none.
func (suspects *suspects) join(known []quarantine.Suspect) *suspectRound {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if suspects.round == nil {
		suspects.round = &suspectRound{done: make(chan struct{})}
		go suspects.tell(suspects.round)
	}
	suspects.round.suspects = append(suspects.round.suspects, known...)
	return suspects.round
}

// tell waits for the gap and makes the calls of the round. Each call is bounded by the node.
func (suspects *suspects) tell(round *suspectRound) {
	defer close(round.done)
	suspects.clock.Sleep(roundGap)
	suspects.mutex.Lock()
	suspects.round = nil
	suspects.mutex.Unlock()
	told := toPeers(round.suspects)
	var calls sync.WaitGroup
	for _, known := range suspects.node.Records() {
		if known.Record.Name == suspects.name {
			continue
		}
		calls.Go(func() { _ = suspects.node.ShareSuspects(context.Background(), known.Record.PeerAddress, told) })
	}
	calls.Wait()
}
