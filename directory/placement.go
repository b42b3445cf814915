package directory

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// Placement is what the holder of the lease knows of one engine.
type Placement struct {
	topology.Incarnation
	// Holding is what the engine has loaded, without what is about to be unloaded.
	Holding topology.Holding
}

// Forecast is when a model, or an adapter, is expected to be loaded.
type Forecast struct {
	demand.Key
	// Ready is the expected time.
	Ready time.Time
}

// Announcement is what the holder of the lease tells all daemons.
type Announcement struct {
	// Fence is its fencing token and Revision rises with each of its announcements.
	Fence, Revision uint64
	// Placements lists all engines.
	Placements []Placement
	// Forecasts lists what is on its way.
	Forecasts []Forecast
}

// Newer reports whether the announcement follows the other one.
func (announcement *Announcement) Newer(fence, revision uint64) bool {
	return announcement.Fence > fence || (announcement.Fence == fence && announcement.Revision > revision)
}
