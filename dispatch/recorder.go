package dispatch

import (
	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/request"
)

// recorder passes an answer on and keeps a copy of bounded size.
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
}

// Begin passes status and content type on.
func (recorder *recorder) Begin(status int, contentType string) error {
	recorder.status, recorder.contentType = status, contentType
	return recorder.sink.Begin(status, contentType)
}

// Chunk passes the part on and keeps a copy.
func (recorder *recorder) Chunk(part []byte) error {
	if len(recorder.body)+len(part) > recorder.limit {
		recorder.cut, recorder.body = true, nil
	}
	if !recorder.cut {
		recorder.body = append(recorder.body, part...)
	}
	return recorder.sink.Chunk(part)
}

// Begun reports whether Begin was called.
func (recorder *recorder) Begun() bool {
	return recorder.sink.Begun()
}

// answer returns the copy.
func (recorder *recorder) answer() claim.Answer {
	return claim.Answer{Status: recorder.status, ContentType: recorder.contentType, Body: recorder.body, Kept: !recorder.cut}
}
