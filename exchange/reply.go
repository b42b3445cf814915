package exchange

import (
	"io"
	"net/http"
)

// Reply is the answer of a replica whose head was read.
type Reply struct {
	// Status is the status code.
	Status int
	// Header holds the headers that are passed on.
	Header http.Header
	// Signed states that the replica vouches for the answer.
	Signed bool
	// NotRun states that the replica proved that it did not run the request.
	NotRun bool
	// Misdirected states that the replica is another one, or lacks the model or adapter; it implies NotRun.
	Misdirected bool
	// EventStream states that the body is a stream of events.
	EventStream bool
	// Length is the length of the body, or -1 if it is not told.
	Length int64
	// Body ends with io.EOF only if it is complete. Closing it early gives up the connection.
	Body io.ReadCloser
}

// Success reports whether the status states success.
func (reply *Reply) Success() bool {
	return reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
}
