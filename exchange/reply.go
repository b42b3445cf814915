package exchange

import (
	"io"
	"net/http"
)

// Reply is the response of a replica after its head was read.
type Reply struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the headers that are passed on.
	Header http.Header
	// Signed states that the response carries the signature of the replica.
	Signed bool
	// NotRun states that the replica proved that it did not run the request.
	NotRun bool
	// Misdirected states that the request reached another replica, or one without the model or adapter (status 421);
	// it implies NotRun.
	Misdirected bool
	// EventStream states that the body is a stream of events.
	EventStream bool
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Unframed states that the body has neither a length nor chunks, so that it ends with its connection.
	Unframed bool
	// Body returns io.EOF only after the complete body. Closing it earlier closes the connection.
	Body io.ReadCloser
}

// Success reports whether the status is in the range 200 to 299.
func (reply *Reply) Success() bool {
	return reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
}
