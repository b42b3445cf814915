package request

// Sink writes the response to one request to the caller.
// Begin is called at most once and before the first Chunk.
type Sink interface {
	// Begin sends the status and the content type. After it, a failure can only be signalled by truncating the
	// response.
	Begin(status int, contentType string) error
	// Chunk writes a part of the response and flushes it if the response is a stream. It does not retain part.
	Chunk(part []byte) error
	// Begun reports whether Begin was called.
	Begun() bool
}
