package dispatch

import "context"

// Migrator is a generator that can hand a running generation to another engine by its KV cache.
// *upstream.Client implements it.
type Migrator interface {
	// Export ends the generation of the request on this engine and returns its KV cache.
	Export(ctx context.Context, requestID string) ([]byte, error)
	// Import takes up an exported generation, which goes on once it is resumed here.
	Import(ctx context.Context, requestID string, blob []byte) error
}
