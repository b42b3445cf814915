package datastore

import "context"

// Key identifies one row.
type Key struct {
	// Table is the name of the table.
	Table string `json:"Table"`
	// Row is the name of the row, unique in the table; rows are ordered by name.
	Row string `json:"Row"`
}

// Row is the content of one row with its version.
type Row struct {
	Key
	// Version increases with every write to the row and is never zero for a row that exists.
	// It is never reused for the same key, not even after a deletion or after the store came
	// back from an older copy; see NewVersion.
	Version Version `json:"Version"`
	// Value is the content of the row.
	Value []byte `json:"Value"`
}

// Write is one write or condition of a transaction.
type Write struct {
	Key
	// Check makes the transaction fail unless the row has the version IfVersion.
	Check bool `json:"Check"`
	// IfVersion is the required version if Check is set; zero means that the row must not exist.
	IfVersion Version `json:"IfVersion"`
	// Only makes this part a condition that writes nothing.
	Only bool `json:"Only"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"Delete"`
	// Value is the new content of the row.
	Value []byte `json:"Value"`
}

// Tables is the table service of the platform. It supports several hundred transactions
// and about two thousand reads per second in total over all clients.
type Tables interface {
	// Read returns one row. A row that does not exist gives ErrNotFound.
	Read(ctx context.Context, key Key) (Row, error)
	// Scan returns at most limit rows of the table whose names start with prefix and sort
	// after the name after, in ascending order. It counts as one read for each 100 rows.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It returns the new version of each part in order.
	// It fails with ErrConflict, ErrUnavailable or ErrUnclear.
	Commit(ctx context.Context, writes []Write) ([]Version, error)
}
