package front

import "sync"

// broadcast notifies any number of goroutines of the next change. The zero value is ready to use.
type broadcast struct {
	mutex sync.Mutex
	// changed is closed at the next change; nil if no goroutine waits.
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (broadcast *broadcast) next() <-chan struct{} {
	broadcast.mutex.Lock()
	defer broadcast.mutex.Unlock()
	if broadcast.changed == nil {
		broadcast.changed = make(chan struct{})
	}
	return broadcast.changed
}

// notify closes the channel that next returned, which wakes all waiting goroutines.
func (broadcast *broadcast) notify() {
	broadcast.mutex.Lock()
	defer broadcast.mutex.Unlock()
	if broadcast.changed != nil {
		close(broadcast.changed)
		broadcast.changed = nil
	}
}
