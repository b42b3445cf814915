package note

import "github.com/bronzestall/bronzestall/settings"

// CapacityOf returns what the upstreams of the settings offer. An engine whose
// memory is not stated makes the largest memory unknown.
func CapacityOf(daemon settings.Settings) Capacity {
	capacity := Capacity{Services: []string{}}
	unknown := false
	for _, upstream := range daemon.Upstreams {
		switch upstream.Kind {
		case settings.ServiceKind:
			capacity.Services = append(capacity.Services, upstream.Name)
		case settings.EngineKind:
			unknown = unknown || upstream.Memory == 0
			capacity.LargestEngine = max(capacity.LargestEngine, upstream.Memory)
		}
	}
	if unknown {
		capacity.LargestEngine = 0
	}
	return capacity
}
