package note

import (
	"slices"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/settings"
)

// CapacityOf returns what the upstreams of the settings and of the VM list offer. An engine whose
// memory the settings do not state makes the largest memory unknown.
func CapacityOf(daemon settings.Settings, vms []datastore.VM) Capacity {
	capacity := Capacity{Services: []string{}}
	unknown := false
	stated := map[string]bool{}
	for _, upstream := range daemon.Upstreams {
		stated[upstream.Name] = true
		switch upstream.Kind {
		case settings.ServiceKind:
			capacity.Services = append(capacity.Services, upstream.Name)
		case settings.EngineKind:
			unknown = unknown || upstream.Memory == 0
			capacity.LargestEngine = max(capacity.LargestEngine, upstream.Memory)
		}
	}
	for _, vm := range vms {
		unknown = unknown || (vm.Role == datastore.Engine && !stated[vm.Name])
		if vm.Role == datastore.Service && !slices.Contains(capacity.Services, vm.Name) {
			capacity.Services = append(capacity.Services, vm.Name)
		}
	}
	if unknown {
		capacity.LargestEngine = 0
	}
	return capacity
}
