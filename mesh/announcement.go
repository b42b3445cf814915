package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

// encodeAnnouncement encodes the announcement. Its lists are left out unless it is newer than the one that
// the receiver has. Times are encoded relative to now, since the clocks of daemons differ.
func encodeAnnouncement(announcement *directory.Announcement, newer bool, now time.Time) *meshpb.Announcement {
	encoded := &meshpb.Announcement{Fence: announcement.Fence, Revision: announcement.Revision, Newer: newer, Since: announcement.Since}
	for replica, inFlight := range announcement.InFlight {
		load := &meshpb.Load{
			Place:   &meshpb.Place{Replica: replica.ID, Born: replica.Started},
			Running: uint32(inFlight.Running),
			Waiting: encodeWaiting(inFlight),
		}
		encodeValue(announcement.Paces[replica], load)
		encoded.Running = append(encoded.Running, load)
	}
	encoded.Paced = announcement.Paces != nil
	for replica, value := range announcement.Paces {
		if _, listed := announcement.InFlight[replica]; !listed {
			load := &meshpb.Load{Place: &meshpb.Place{Replica: replica.ID, Born: replica.Started}}
			encodeValue(value, load)
			encoded.Running = append(encoded.Running, load)
		}
	}
	if !newer {
		return encoded
	}
	for _, placement := range announcement.Placements {
		next := &meshpb.Placement{Replica: placement.ID, Born: placement.Started, Orders: placement.Holding.Orders}
		if loading := placement.Loading; loading.Model != "" {
			next.Loading = loading.Model
			next.FromStore = loading.FromStore
			next.ReadyIn = uint64(max(loading.Ready.Sub(now), 0).Milliseconds())
		}
		for _, loaded := range placement.Holding.Models {
			next.Models = append(next.Models, &meshpb.Loaded{
				Model:    loaded.Model,
				Version:  int64(loaded.Version),
				Adapters: loaded.Adapters,
			})
		}
		encoded.Placements = append(encoded.Placements, next)
	}
	for _, forecast := range announcement.Forecasts {
		encoded.Forecasts = append(encoded.Forecasts, &meshpb.Forecast{
			Service: forecast.Service,
			Model:   forecast.Model,
			Adapter: forecast.Adapter,
			ReadyIn: uint64(max(forecast.Ready.Sub(now), 0).Milliseconds()),
		})
	}
	return encoded
}

func decodeAnnouncement(encoded *meshpb.Announcement, now time.Time) directory.Announcement {
	announcement := directory.Announcement{Fence: encoded.GetFence(), Revision: encoded.GetRevision(), Since: encoded.GetSince()}
	if running := encoded.GetRunning(); len(running) > 0 {
		announcement.InFlight = make(map[topology.Incarnation]demand.InFlight, len(running))
		for _, load := range running {
			announcement.InFlight[decodeIncarnation(load.GetPlace())] = decodeInFlight(load)
		}
	}
	if encoded.GetPaced() {
		announcement.Paces = decodeValues(encoded.GetRunning())
	}
	for _, placement := range encoded.GetPlacements() {
		next := directory.Placement{
			Incarnation: decodeIncarnation(placement),
			Holding:     topology.Holding{Orders: placement.GetOrders()},
		}
		if model := placement.GetLoading(); model != "" {
			ready := now.Add(milliseconds(placement.GetReadyIn()))
			next.Loading = directory.Loading{Model: model, FromStore: placement.GetFromStore(), Ready: ready}
		}
		for _, loaded := range placement.GetModels() {
			next.Holding.Models = append(next.Holding.Models, topology.LoadedModel{
				Model:    loaded.GetModel(),
				Version:  int(loaded.GetVersion()),
				Adapters: loaded.GetAdapters(),
			})
		}
		announcement.Placements = append(announcement.Placements, next)
	}
	for _, forecast := range encoded.GetForecasts() {
		announcement.Forecasts = append(announcement.Forecasts, directory.Forecast{
			Key:   demand.Key{Service: forecast.GetService(), Model: forecast.GetModel(), Adapter: forecast.GetAdapter()},
			Ready: now.Add(milliseconds(forecast.GetReadyIn())),
		})
	}
	return announcement
}
