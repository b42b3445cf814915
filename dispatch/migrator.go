package dispatch

import "context"

// Migrator is a generator that can move a running generation to another engine with its KV cache.
// *upstream.Client implements it.
type Migrator interface {
	// Export ends the generation of the request on this engine and returns its KV cache.
	Export(ctx context.Context, requestID string) ([]byte, error)
	// Import loads an exported generation, which continues once it is resumed on this engine.
	Import(ctx context.Context, requestID string, blob []byte) error
}
