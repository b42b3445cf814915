package request

// Sink takes the answer to one request on its way to the caller.
// Begin is called at most once and before the first Chunk.
type Sink interface {
	// Begin sends the status and the content type. After it only a truncated stream can tell of a failure.
	Begin(status int, contentType string) error
	// Chunk sends a part of the answer and flushes it. It keeps no reference to part.
	Chunk(part []byte) error
	// Begun reports whether Begin was called.
	Begun() bool
}
