package mesh

import "github.com/bronzestall/bronzestall/mesh/meshpb"

// Question names the versions that a daemon has, which cannot read the platform's store itself.
type Question struct {
	Configuration, Roster uint64
}

// Answer holds what is newer.
type Answer struct {
	// Configuration is the row of the configuration as read, or nil if it is not newer.
	Configuration []byte
	// Roster is the version of Rows, which hold the whole replica table if it is newer.
	Roster uint64
	Rows   []Row
}

// Row is one row of the replica table as read.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

func (answer *Answer) encode() *meshpb.Answer {
	encoded := &meshpb.Answer{Configuration: answer.Configuration, Roster: answer.Roster}
	for _, row := range answer.Rows {
		encoded.Rows = append(encoded.Rows, &meshpb.Row{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	return encoded
}

func decodeAnswer(encoded *meshpb.Answer) Answer {
	answer := Answer{Configuration: encoded.GetConfiguration(), Roster: encoded.GetRoster()}
	for _, row := range encoded.GetRows() {
		answer.Rows = append(answer.Rows, Row{Key: row.GetKey(), Version: row.GetVersion(), Value: row.GetValue()})
	}
	return answer
}
