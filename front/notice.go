package front

import "sync"

// notice tells any number of goroutines of the next change. The zero value is ready to use.
type notice struct {
	mutex sync.Mutex
	// changed is closed at the next change; nil if nobody waits.
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (notice *notice) next() <-chan struct{} {
	notice.mutex.Lock()
	defer notice.mutex.Unlock()
	if notice.changed == nil {
		notice.changed = make(chan struct{})
	}
	return notice.changed
}

// tell wakes all who wait.
func (notice *notice) tell() {
	notice.mutex.Lock()
	defer notice.mutex.Unlock()
	if notice.changed != nil {
		close(notice.changed)
		notice.changed = nil
	}
}
