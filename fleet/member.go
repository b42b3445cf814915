package fleet

import (
	"time"

	"github.com/bronzestall/bronzestall/settings"
)

// Member is one upstream of the settings or the VM list.
type Member struct {
	// Name is the name of the VM.
	Name string
	// Incarnation differs between two VMs with the same name; it is empty if only the settings name the upstream.
	Incarnation string
	// Address is the IP address and port.
	Address string
	// DataCentre is the name of the data centre.
	DataCentre string
	// Kind is the kind of server that runs there.
	Kind settings.UpstreamKind
	// ChecksFencing states that the engine rejects orders with a lower fencing number than it has seen.
	ChecksFencing bool
	// ChecksBoot states that the engine rejects orders for another of its boots.
	ChecksBoot bool
	// Leaving states that the platform will reclaim the VM.
	Leaving bool
	// LeavingSince is the time at which the platform or the engine was first known to report leaving, or zero.
	LeavingSince time.Time
}
