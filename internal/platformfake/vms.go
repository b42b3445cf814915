package platformfake

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// SetLag sets by how much the VM list lags behind SetVMs.
func (fake *Platform) SetLag(lag time.Duration) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.lag = lag
}

// SetVMs sets the VMs that live from now on.
func (fake *Platform) SetVMs(vms ...datastore.VM) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	list := timedList{since: fake.clock.Now(), vms: slices.Clone(vms)}
	fake.lists = append(fake.lists, list)
}

// list returns the VMs as they were before the lag. It is called with the mutex held.
func (fake *Platform) list() []datastore.VM {
	seen := fake.clock.Now().Add(-fake.lag)
	for _, list := range slices.Backward(fake.lists) {
		if !list.since.After(seen) {
			return slices.Clone(list.vms)
		}
	}
	return nil
}
