package front

import "sync"

// broadcast tells any number of goroutines of the next change. The zero value is ready to use.
type broadcast struct {
	mutex sync.Mutex
	// changed is closed at the next change; nil if nobody waits.
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (signal *broadcast) next() <-chan struct{} {
	signal.mutex.Lock()
	defer signal.mutex.Unlock()
	if signal.changed == nil {
		signal.changed = make(chan struct{})
	}
	return signal.changed
}

// notify wakes all who wait.
func (signal *broadcast) notify() {
	signal.mutex.Lock()
	defer signal.mutex.Unlock()
	if signal.changed != nil {
		close(signal.changed)
		signal.changed = nil
	}
}
