package dispatch

import (
	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/request"
)

// recorder forwards the response to a claimed request and keeps a copy of bounded size. It reads the response
// to its end when the caller has disconnected, so that a repeated call gets it.
type recorder struct {
	sink request.Sink
	// limit is the largest number of bytes that are kept.
	limit       int
	status      int
	contentType string
	// body has at most limit bytes; it is nil once truncated is true.
	body []byte
	// truncated states that the response was larger than limit.
	truncated bool
	// begun states that Begin was called, and callerGone that the caller no longer accepts the response.
	begun, callerGone bool
}

// Begin forwards the status and the content type. It always returns nil.
func (recorder *recorder) Begin(status int, contentType string) error {
	recorder.begun = true
	recorder.status, recorder.contentType = status, contentType
	recorder.callerGone = recorder.sink.Begin(status, contentType) != nil
	return nil
}

// Chunk keeps a copy of the part and forwards it. It always returns nil.
func (recorder *recorder) Chunk(part []byte) error {
	if len(recorder.body)+len(part) > recorder.limit {
		recorder.truncated, recorder.body = true, nil
	}
	if !recorder.truncated {
		recorder.body = append(recorder.body, part...)
	}
	if !recorder.callerGone {
		recorder.callerGone = recorder.sink.Chunk(part) != nil
	}
	return nil
}

// Begun reports whether Begin was called.
func (recorder *recorder) Begun() bool {
	return recorder.begun
}

// response returns the recorded copy.
func (recorder *recorder) response() claim.Response {
	return claim.Response{Status: recorder.status, ContentType: recorder.contentType, Body: recorder.body, Kept: !recorder.truncated}
}
