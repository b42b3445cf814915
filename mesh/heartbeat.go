package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// Heartbeat is what a daemon told of itself, as it may have passed through others.
type Heartbeat struct {
	Member
	State
	// Incarnation orders the runs of the daemon, and Sequence what it told within a run.
	Incarnation, Sequence uint64
	// Age is the time since the daemon told it. Times themselves never travel, so that a wrong clock does no harm.
	Age time.Duration
}

// isNewerThan reports whether the news is later than the other one.
func (news *Heartbeat) isNewerThan(other *Heartbeat) bool {
	if news.Incarnation != other.Incarnation {
		return news.Incarnation > other.Incarnation
	}
	return news.Sequence > other.Sequence
}

// heartbeatAt returns the news with its age at the time.
func (known *Peer) heartbeatAt(now time.Time) Heartbeat {
	news := known.Heartbeat
	news.Age = max(now.Sub(known.LastSeen), 0)
	return news
}

func (news *Heartbeat) encode() *meshpb.News {
	return &meshpb.News{
		Peer:          &meshpb.Peer{Name: news.Name, Address: news.Address, DataCentre: news.DataCentre},
		Incarnation:   news.Incarnation,
		Beat:          news.Sequence,
		Age:           uint64(news.Age.Milliseconds()),
		Configuration: news.ConfigurationVersion,
		Roster:        news.RosterVersion,
		StoreAge:      uint64(news.StoreAge.Milliseconds()),
		Fence:         news.Fence,
		Leaving:       news.Leaving,
	}
}

func decodeHeartbeat(encoded *meshpb.News) Heartbeat {
	peer := encoded.GetPeer()
	return Heartbeat{
		Member:      Member{Name: peer.GetName(), Address: peer.GetAddress(), DataCentre: peer.GetDataCentre()},
		Incarnation: encoded.GetIncarnation(),
		Sequence:    encoded.GetBeat(),
		Age:         milliseconds(encoded.GetAge()),
		State: State{
			ConfigurationVersion: encoded.GetConfiguration(),
			RosterVersion:        encoded.GetRoster(),
			StoreAge:             milliseconds(encoded.GetStoreAge()),
			Fence:                encoded.GetFence(),
			Leaving:              encoded.GetLeaving(),
		},
	}
}
