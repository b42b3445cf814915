package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// UpdateRequest names the versions that a daemon has. It requests newer data, which the daemon could not or
// need not read from the platform's store itself.
type UpdateRequest struct {
	ConfigurationVersion uint64
	RosterVersion        datastore.Version
	// Wait is the longest time that the response is delayed until newer data is available.
	Wait time.Duration
}

// UpdateResponse holds the data that is newer than the versions in the request.
type UpdateResponse struct {
	// Configuration is the stored row of the configuration, or nil if it is not newer.
	Configuration []byte
	// RosterVersion is the version of the replica table after the response is applied, or zero if it is not
	// newer.
	RosterVersion datastore.Version
	// Rows lists the rows that changed, or the whole table if Full is set. Removed lists the keys of deleted
	// rows.
	Rows    []Row
	Full    bool
	Removed []string
	// StoreAge is the time since the platform's store last answered the responding daemon, and StoreLost is
	// set if its last call failed.
	StoreAge  time.Duration
	StoreLost bool
	// ConfigurationConfirmed is set if the responding daemon knows since when its configuration, which is Configuration or the one that
	// the request names, was in force, and ConfigurationAge is the time since then.
	ConfigurationConfirmed bool
	ConfigurationAge       time.Duration
	// OutageEnded is set if the responding daemon had an outage of the store, and OutageEndAge is the time
	// since the last one ended.
	OutageEnded  bool
	OutageEndAge time.Duration
}

// HasUpdates reports whether the response holds anything newer than the request.
func (response *UpdateResponse) HasUpdates() bool {
	return len(response.Configuration) > 0 || len(response.Rows) > 0 || len(response.Removed) > 0 || response.Full
}

// Row is one row of the replica table as stored.
type Row struct {
	Key     string
	Version datastore.Version
	Value   []byte
}

func (response *UpdateResponse) encode() *meshpb.Answer {
	encoded := &meshpb.Answer{
		Configuration: response.Configuration,
		Roster:        uint64(response.RosterVersion),
		Whole:         response.Full,
		Removed:       response.Removed,
		StoreAge:      uint64(response.StoreAge.Milliseconds()),
		StoreLost:     response.StoreLost,
	}
	if response.OutageEnded {
		encoded.RegainedAge = uint64(response.OutageEndAge.Milliseconds()) + 1
	}
	if response.ConfigurationConfirmed {
		// Rounded up, since a removed key must not be accepted for longer.
		encoded.ConfigurationAge = uint64((response.ConfigurationAge + time.Millisecond - 1).Milliseconds()) + 1
	}
	for _, row := range response.Rows {
		encoded.Rows = append(encoded.Rows, &meshpb.Row{Key: row.Key, Version: uint64(row.Version), Value: row.Value})
	}
	return encoded
}

func decodeUpdateResponse(encoded *meshpb.Answer) UpdateResponse {
	response := UpdateResponse{
		Configuration: encoded.GetConfiguration(),
		RosterVersion: datastore.Version(encoded.GetRoster()),
		Full:          encoded.GetWhole(),
		Removed:       encoded.GetRemoved(),
		StoreAge:      milliseconds(encoded.GetStoreAge()),
		StoreLost:     encoded.GetStoreLost(),
		OutageEnded:   encoded.GetRegainedAge() > 0,
	}
	if response.OutageEnded {
		response.OutageEndAge = milliseconds(encoded.GetRegainedAge() - 1)
	}
	if age := encoded.GetConfigurationAge(); age > 0 {
		response.ConfigurationConfirmed, response.ConfigurationAge = true, milliseconds(age-1)
	}
	for _, row := range encoded.GetRows() {
		response.Rows = append(response.Rows, Row{Key: row.GetKey(), Version: datastore.Version(row.GetVersion()), Value: row.GetValue()})
	}
	return response
}
