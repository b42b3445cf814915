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
	// Loading is the model on its way to the engine, if there is one.
	Loading Loading
	// Revision is that of the announcement in which the placement changed last.
	Revision uint64
}

// Loading is a model on its way to an engine. The zero value is none.
type Loading struct {
	// Model is the model.
	Model string
	// FromStore states that its weights come from the weight store.
	FromStore bool
	// Ready is when it is expected to be loaded.
	Ready time.Time
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
	// Placements lists all engines, or those that changed after Since.
	Placements []Placement
	// Since is the revision that the lists follow; zero if they are whole.
	Since uint64
	// Forecasts lists what is on its way.
	Forecasts []Forecast
	// Running maps engines to the requests in flight from all daemons; nil if it is not told.
	Running map[topology.Incarnation]demand.InFlight
}

// After returns what follows the announcement of the fence and revision.
func (announcement Announcement) After(fence, revision uint64) Announcement {
	if fence != announcement.Fence || revision == 0 {
		return announcement
	}
	changed := announcement
	changed.Since = revision
	changed.Placements = nil
	for _, placement := range announcement.Placements {
		if placement.Revision > revision {
			changed.Placements = append(changed.Placements, placement)
		}
	}
	return changed
}

// Newer reports whether the announcement follows the other one.
func (announcement *Announcement) Newer(fence, revision uint64) bool {
	return announcement.Fence > fence || (announcement.Fence == fence && announcement.Revision > revision)
}
