package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/quarantine"
)

// batchWindow is the time for which suspects are collected into one batch. A crash of an engine marks all
// requests that it was running at once.
const batchWindow = 5 * time.Millisecond

// suspectBatch is a set of suspects that is sent in one call to each known daemon.
type suspectBatch struct {
	// suspects are added until the batch is sent.
	suspects []quarantine.Suspect
	// done is closed when each call has succeeded or failed.
	done chan struct{}
}

// Publish sends the suspects to every known daemon at once, also in other data centres, since their requests
// may overflow to the same upstreams. It returns when each call has succeeded or failed, or when ctx ends.
// A daemon whose call failed receives them with the next exchange. Suspects published within batchWindow
// share one call to each daemon.
func (suspects *suspects) Publish(ctx context.Context, marked []quarantine.Suspect) {
	batch := suspects.join(marked)
	select {
	case <-batch.done:
	case <-ctx.Done():
	}
}

// join adds the suspects to the open batch, or starts a new one.
func (suspects *suspects) join(marked []quarantine.Suspect) *suspectBatch {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if suspects.batch == nil {
		suspects.batch = &suspectBatch{done: make(chan struct{})}
		go suspects.send(suspects.batch)
	}
	suspects.batch.suspects = append(suspects.batch.suspects, marked...)
	return suspects.batch
}

// send waits for batchWindow, closes the batch to further suspects and sends it. Each call has the time
// limit of the node.
func (suspects *suspects) send(batch *suspectBatch) {
	defer close(batch.done)
	suspects.clock.Sleep(batchWindow)
	suspects.mutex.Lock()
	suspects.batch = nil
	suspects.mutex.Unlock()
	converted := toPeers(batch.suspects)
	var calls sync.WaitGroup
	for _, other := range suspects.node.Records() {
		if other.Record.Name == suspects.name {
			continue
		}
		calls.Go(func() { _ = suspects.node.ShareSuspects(context.Background(), other.Record.PeerAddress, converted) })
	}
	calls.Wait()
}
