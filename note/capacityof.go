package note

import (
	"slices"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/settings"
)

// CapacityOf returns the capacity of the upstreams in the settings and the VM list. LargestEngine is zero if the
// settings do not give the memory of every engine.
func CapacityOf(daemon settings.Settings, vms []datastore.VM) Capacity {
	capacity := Capacity{Services: []string{}}
	unknown := false
	configured := map[string]bool{}
	for _, upstream := range daemon.Upstreams {
		configured[upstream.Name] = true
		switch upstream.Kind {
		case settings.ServiceKind:
			capacity.Services = append(capacity.Services, upstream.Name)
		case settings.EngineKind:
			unknown = unknown || upstream.Memory == 0
			capacity.LargestEngine = max(capacity.LargestEngine, upstream.Memory)
		}
	}
	for _, vm := range vms {
		unknown = unknown || (vm.Role == datastore.Engine && !configured[vm.Name])
		if vm.Role == datastore.Service && !slices.Contains(capacity.Services, vm.Name) {
			capacity.Services = append(capacity.Services, vm.Name)
		}
	}
	if unknown {
		capacity.LargestEngine = 0
	}
	return capacity
}
