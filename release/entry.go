package release

import "time"

// Entry is the record of one accepted note.
type Entry struct {
	// Number is the number in force after the note.
	Number uint64 `json:"Number"`
	// Note is the operator's identifier of the note.
	Note string `json:"Note"`
	// By is the name of the operator.
	By string `json:"By"`
	// At is the time of acceptance by the operator's clock.
	At time.Time `json:"At"`
	// Summary describes the purpose of the note.
	Summary string `json:"Summary"`
	// Body is the name of the object that holds the note.
	Body string `json:"Body"`
	// Bytes is the size of that object.
	Bytes int `json:"Bytes"`
	// Snapshot is the newest snapshot at or before Number.
	Snapshot Snapshot `json:"Snapshot,omitzero"`
}

// Snapshot names the object that holds the whole catalogue at a number. The zero value is the empty catalogue.
type Snapshot struct {
	// Number is the number in force of the catalogue.
	Number uint64 `json:"Number"`
	// Object is the name of the object.
	Object string `json:"Object"`
}
