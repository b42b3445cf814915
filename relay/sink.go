package relay

import "net/http"

// Sink takes the answer for the client.
type Sink interface {
	// Head begins the answer. A length of -1 means that it is not known.
	Head(status int, header http.Header, length int64)
	// Write passes on a part of the body at once. It fails if the client is gone.
	Write(part []byte) error
	// Begun reports whether Head was called.
	Begun() bool
}
