package datastore

import "context"

// Key names one row.
type Key struct {
	// Table is the name of the table.
	Table string `json:"Table"`
	// Row is the name of the row in the table; rows are ordered by name.
	Row string `json:"Row"`
}

// Row is one row as read.
type Row struct {
	Key
	// Version rises with every write to the row and is never zero for a row that exists.
	// It is never used twice for one key, not even after a deletion.
	Version uint64 `json:"Version"`
	// Value is the content.
	Value []byte `json:"Value"`
}

// Write is one part of a transaction.
type Write struct {
	Key
	// Check makes the transaction depend on IfVersion.
	Check bool `json:"Check"`
	// IfVersion is the version that the row must have; zero means that the row must not exist.
	IfVersion uint64 `json:"IfVersion"`
	// Only makes the part a condition that writes nothing.
	Only bool `json:"Only"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"Delete"`
	// Value is the new content.
	Value []byte `json:"Value"`
}

// Tables is the table service of the platform. It takes several hundred
// transactions and about two thousand reads a second from everybody together.
type Tables interface {
	// Read returns one row. A row that does not exist gives ErrNotFound.
	Read(ctx context.Context, key Key) (Row, error)
	// Scan returns at most limit rows of the table whose names begin with prefix and
	// come after the name after, in order. It counts as one read for each 100 rows.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It returns the new version of each part in order.
	// It fails with ErrConflict, ErrUnavailable or ErrUnclear.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}
