package datastore

import "context"

// Objects is the object store of the platform. Objects are immutable once written.
type Objects interface {
	// Get returns the content of an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes an object. Writing the same content again has no effect;
	// different content under an existing name gives ErrConflict.
	Put(ctx context.Context, name string, content []byte) error
}
