package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// UpdateRequest names the versions that a daemon has, which does not read the platform's store itself.
type UpdateRequest struct {
	ConfigurationVersion, RosterVersion uint64
	// Wait is how long the answer may wait for something newer.
	Wait time.Duration
}

// UpdateResponse holds what is newer.
type UpdateResponse struct {
	// Configuration is the row of the configuration as read, or nil if it is not newer.
	Configuration []byte
	// RosterVersion is the version of the replica table that the answer leads to.
	RosterVersion uint64
	// Rows are those that changed, or the whole table if Whole is set, and Removed names those that are gone.
	Rows    []Row
	Full    bool
	Removed []string
	// StoreAge is the time since the daemon heard from the platform's store, and StoreLost that its last call failed.
	StoreAge  time.Duration
	StoreLost bool
	// Regained states that the daemon saw an outage of the store, and RegainedAge the time since its end.
	Regained    bool
	RegainedAge time.Duration
}

// HasUpdates reports whether the answer holds anything newer than what was asked.
func (answer *UpdateResponse) HasUpdates() bool {
	return len(answer.Configuration) > 0 || len(answer.Rows) > 0 || len(answer.Removed) > 0 || answer.Full
}

// Row is one row of the replica table as read.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

func (answer *UpdateResponse) encode() *meshpb.Answer {
	encoded := &meshpb.Answer{
		Configuration: answer.Configuration,
		Roster:        answer.RosterVersion,
		Whole:         answer.Full,
		Removed:       answer.Removed,
		StoreAge:      uint64(answer.StoreAge.Milliseconds()),
		StoreLost:     answer.StoreLost,
	}
	if answer.Regained {
		encoded.RegainedAge = uint64(answer.RegainedAge.Milliseconds()) + 1
	}
	for _, row := range answer.Rows {
		encoded.Rows = append(encoded.Rows, &meshpb.Row{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	return encoded
}

func decodeUpdateResponse(encoded *meshpb.Answer) UpdateResponse {
	answer := UpdateResponse{
		Configuration: encoded.GetConfiguration(),
		RosterVersion: encoded.GetRoster(),
		Full:          encoded.GetWhole(),
		Removed:       encoded.GetRemoved(),
		StoreAge:      milliseconds(encoded.GetStoreAge()),
		StoreLost:     encoded.GetStoreLost(),
		Regained:      encoded.GetRegainedAge() > 0,
	}
	if answer.Regained {
		answer.RegainedAge = milliseconds(encoded.GetRegainedAge() - 1)
	}
	for _, row := range encoded.GetRows() {
		answer.Rows = append(answer.Rows, Row{Key: row.GetKey(), Version: row.GetVersion(), Value: row.GetValue()})
	}
	return answer
}
