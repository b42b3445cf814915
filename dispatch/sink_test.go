package dispatch

import (
	"io"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/request"
)

// fakeSink keeps the response.
type fakeSink struct {
	mutex  sync.Mutex
	status int
	body   []byte
	begun  bool
	// failing states that the caller has disconnected.
	failing bool
}

func (sink *fakeSink) Begin(status int, _ string) error {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	if sink.begun {
		panic("begun twice")
	}
	if sink.failing {
		return io.ErrClosedPipe
	}
	sink.status, sink.begun = status, true
	return nil
}

func (sink *fakeSink) Chunk(part []byte) error {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	sink.body = append(sink.body, part...)
	return nil
}

func (sink *fakeSink) Begun() bool {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	return sink.begun
}

func chatRequest(body string) request.Request {
	return request.Request{
		ID: "id-" + body, Tenant: "a", Target: catalogue.Target{Model: "m"}, Idempotent: true, Stream: true,
		Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second), Tokens: 1,
		Fingerprint: fingerprint(body), Body: []byte(body),
	}
}

func fingerprint(body string) uint64 {
	hash := uint64(14695981039346656037)
	for _, letter := range []byte(body) {
		hash = (hash ^ uint64(letter)) * 1099511628211
	}
	return hash
}
