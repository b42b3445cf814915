package mesh

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// Heartbeat is the state that a daemon announced. Other daemons may have relayed it.
type Heartbeat struct {
	Member
	State
	// Incarnation orders the processes that ran at the address, and Sequence orders the heartbeats of one
	// process.
	Incarnation, Sequence uint64
	// Age is the time since the daemon sent the heartbeat. Absolute times are never transmitted, so that a
	// wrong clock has no effect on other daemons.
	Age time.Duration
	// Unknown holds the encoded fields that a later build sent and this one does not know, at most maxUnknownBytes. They are passed
	// on.
	Unknown []byte
}

// maxUnknownBytes is the largest size of the unknown fields of a heartbeat that are kept. Longer ones are dropped.
const maxUnknownBytes = 256

// isNewerThan reports whether the heartbeat was sent after the other one.
func (heartbeat *Heartbeat) isNewerThan(other *Heartbeat) bool {
	if heartbeat.Incarnation != other.Incarnation {
		return heartbeat.Incarnation > other.Incarnation
	}
	return heartbeat.Sequence > other.Sequence
}

// heartbeatAt returns the heartbeat of the peer with its age at the time.
func (peer *Peer) heartbeatAt(now time.Time) Heartbeat {
	heartbeat := peer.Heartbeat
	heartbeat.Age = max(now.Sub(peer.LastSeen), 0)
	return heartbeat
}

func (heartbeat *Heartbeat) encode() *meshpb.News {
	encoded := &meshpb.News{
		Peer:          &meshpb.Peer{Name: heartbeat.Name, Address: heartbeat.Address, DataCentre: heartbeat.DataCentre},
		Incarnation:   heartbeat.Incarnation,
		Beat:          heartbeat.Sequence,
		Age:           uint64(heartbeat.Age.Milliseconds()),
		Configuration: heartbeat.ConfigurationVersion,
		Roster:        uint64(heartbeat.RosterVersion),
		StoreAge:      uint64(heartbeat.StoreAge.Milliseconds()),
		Fence:         heartbeat.Fence,
		Leaving:       heartbeat.Leaving,
		CutOff:        heartbeat.CutOff,
	}
	encoded.ProtoReflect().SetUnknown(heartbeat.Unknown)
	return encoded
}

func decodeHeartbeat(encoded *meshpb.News) Heartbeat {
	peer := encoded.GetPeer()
	return Heartbeat{
		Member:      Member{Name: peer.GetName(), Address: peer.GetAddress(), DataCentre: peer.GetDataCentre()},
		Incarnation: encoded.GetIncarnation(),
		Sequence:    encoded.GetBeat(),
		Age:         milliseconds(encoded.GetAge()),
		Unknown:     unknownFields(encoded),
		State: State{
			ConfigurationVersion: encoded.GetConfiguration(),
			RosterVersion:        datastore.Version(encoded.GetRoster()),
			StoreAge:             milliseconds(encoded.GetStoreAge()),
			Fence:                encoded.GetFence(),
			Leaving:              encoded.GetLeaving(),
			CutOff:               encoded.GetCutOff(),
		},
	}
}

// unknownFields returns the unknown fields of the message, or nil if they are too long.
func unknownFields(message *meshpb.News) []byte {
	unknown := message.ProtoReflect().GetUnknown()
	if len(unknown) > maxUnknownBytes {
		return nil
	}
	return slices.Clone(unknown)
}
