package release

import "time"

// Entry is one accepted note in the history.
type Entry struct {
	// Number is the number in force after the note.
	Number uint64 `json:"Number"`
	// Note is the operator's identifier of the note.
	Note string `json:"Note"`
	// By names the operator.
	By string `json:"By"`
	// At is the operator's time of acceptance.
	At time.Time `json:"At"`
	// Summary tells what the note is for.
	Summary string `json:"Summary"`
	// Body is the name of the object with the note.
	Body string `json:"Body"`
	// Bytes is the size of the body.
	Bytes int `json:"Bytes"`
	// Snapshot is the newest snapshot at or before Number.
	Snapshot Snapshot `json:"Snapshot,omitzero"`
}

// Snapshot names the object with the whole catalogue at a number. The zero value is the empty catalogue.
type Snapshot struct {
	// Number is the number in force of the catalogue.
	Number uint64 `json:"Number"`
	// Object is the name of the object.
	Object string `json:"Object"`
}
