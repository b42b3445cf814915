package frontsoak

import "time"

// crash resets all connections and drops all models; after the downtime, and that of other crashes, the replica starts as a new
// incarnation.
func (replica *replica) crash(downtime time.Duration) {
	replica.mutex.Lock()
	replica.crashes++
	replica.models, replica.revision, replica.loading = nil, 0, ""
	replica.limit = 0
	replica.mutex.Unlock()
	replica.checker.startLimit(replica.incarnationName(), 0)
	replica.checker.recordReplicaFault(replica.id)
	end := replica.proxy.begin(proxyFault{refuses: true})
	replica.proxy.resetAll()
	time.AfterFunc(downtime, func() {
		defer end()
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		if replica.crashes--; replica.crashes > 0 {
			return
		}
		replica.startedAt = time.Now().UnixMilli()
		if replica.nextRelease != "" {
			replica.release = replica.nextRelease
		}
	})
}

// drain writes a row that says the replica is draining; 4 s later the replica crashes and starts as a new incarnation. It does nothing
// if the replica drains already.
func (replica *replica) drain() {
	replica.mutex.Lock()
	already := replica.draining
	replica.draining = true
	replica.mutex.Unlock()
	if already {
		return
	}
	replica.writeRow()
	replica.checker.recordDrain(replica.id, time.Now())
	time.AfterFunc(4*time.Second, func() {
		replica.mutex.Lock()
		replica.draining = false
		replica.mutex.Unlock()
		replica.checker.recordDrain(replica.id, time.Time{})
		replica.crash(300 * time.Millisecond)
	})
}
