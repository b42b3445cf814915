package dispatch

import (
	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/request"
)

// recorder passes the answer to a claimed request on and keeps a copy of bounded size. It takes the
// answer to its end when the caller is gone, so that a resend gets it.
type recorder struct {
	sink request.Sink
	// limit is the largest number of bytes that are kept.
	limit       int
	status      int
	contentType string
	// body has at most limit bytes; it is nil once cut is true.
	body []byte
	// cut states that the answer was larger than limit.
	cut bool
	// begun states that Begin was called, and gone that the caller no longer takes the answer.
	begun, gone bool
}

// Begin passes status and content type on.
func (recorder *recorder) Begin(status int, contentType string) error {
	recorder.begun = true
	recorder.status, recorder.contentType = status, contentType
	recorder.gone = recorder.sink.Begin(status, contentType) != nil
	return nil
}

// Chunk keeps a copy of the part and passes it on.
func (recorder *recorder) Chunk(part []byte) error {
	if len(recorder.body)+len(part) > recorder.limit {
		recorder.cut, recorder.body = true, nil
	}
	if !recorder.cut {
		recorder.body = append(recorder.body, part...)
	}
	if !recorder.gone {
		recorder.gone = recorder.sink.Chunk(part) != nil
	}
	return nil
}

// Begun reports whether Begin was called.
func (recorder *recorder) Begun() bool {
	return recorder.begun
}

// answer returns the copy.
func (recorder *recorder) answer() claim.Response {
	return claim.Response{Status: recorder.status, ContentType: recorder.contentType, Body: recorder.body, Kept: !recorder.cut}
}
