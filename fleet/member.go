package fleet

import (
	"time"

	"github.com/bronzestall/bronzestall/settings"
)

// Member is one upstream that the daemon has been told of.
type Member struct {
	// Name is the name of the VM.
	Name string
	// Incarnation differs between two VMs with the same name; it is empty if only the settings name the upstream.
	Incarnation string
	// Address is the IP address and port.
	Address string
	// DataCentre is the name of the data centre.
	DataCentre string
	// Kind tells what runs there.
	Kind settings.UpstreamKind
	// ChecksFencing states that the engine refuses orders with an old fencing number.
	ChecksFencing bool
	// ChecksBoot states that the engine refuses orders for another of its boots.
	ChecksBoot bool
	// Leaving states that the platform will reclaim the VM.
	Leaving bool
	// LeavingSince is the time of the first sign of leaving, or zero.
	LeavingSince time.Time
}
