package relay

import "net/http"

// Sink receives the response for the client.
type Sink interface {
	// Head begins the response. A length of -1 means that the length is unknown.
	Head(status int, header http.Header, length int64)
	// Write passes on a part of the body without delay, and does not keep it. It fails if the client has disconnected.
	Write(part []byte) error
	// Begun reports whether Head was called.
	Begun() bool
}
