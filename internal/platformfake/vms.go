package platformfake

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// SetLag sets the delay after which a list set with SetVMs is returned to clients.
func (fake *Platform) SetLag(lag time.Duration) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.lag = lag
}

// SetVMs sets the VMs that exist from now on.
func (fake *Platform) SetVMs(vms ...datastore.VM) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	list := timedList{validFrom: fake.clock.Now(), vms: slices.Clone(vms)}
	fake.lists = append(fake.lists, list)
}

// list returns the VM list as it was at the time now minus the lag. The caller must hold the mutex.
func (fake *Platform) list() []datastore.VM {
	asOf := fake.clock.Now().Add(-fake.lag)
	for _, list := range slices.Backward(fake.lists) {
		if !list.validFrom.After(asOf) {
			return slices.Clone(list.vms)
		}
	}
	return nil
}
