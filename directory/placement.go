package directory

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// Placement is what the lease holder knows of one engine.
type Placement struct {
	topology.Incarnation
	// Holding is what the engine has loaded, without what is about to be unloaded.
	Holding topology.Holding
	// Loading is the model that is being loaded, if any.
	Loading Loading
	// Revision is that of the announcement in which the placement last changed.
	Revision uint64
}

// Loading is a model that an engine is loading. The zero value means none.
type Loading struct {
	// Model is the name of the model.
	Model string
	// FromStore is set if its weights come from the weight store.
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

// Announcement is the state that the lease holder announces to all daemons.
type Announcement struct {
	// Fence is the fencing token of the holder, and Revision rises with each of its announcements.
	Fence, Revision uint64
	// Placements lists all engines, or those that changed after Since.
	Placements []Placement
	// Since is the revision after which the listed placements changed; zero if all are listed.
	Since uint64
	// Forecasts lists the models and adapters that are being loaded.
	Forecasts []Forecast
	// InFlight maps engines to the requests in flight of all daemons; nil if it is not announced.
	InFlight map[topology.Incarnation]demand.InFlight
	// Paces maps replicas to their paces, without those that do not differ from others; nil if it is not announced.
	Paces map[topology.Incarnation]pace.Value
}

// ChangesSince returns the announcement with only the placements that changed after the revision. It returns
// the whole announcement if the revision is zero or of another fencing token.
func (announcement Announcement) ChangesSince(fence, revision uint64) Announcement {
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

// IsNewerThan reports whether the announcement is newer than the one with the fencing token and revision.
func (announcement *Announcement) IsNewerThan(fence, revision uint64) bool {
	return announcement.Fence > fence || (announcement.Fence == fence && announcement.Revision > revision)
}
