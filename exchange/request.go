package exchange

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is one attempt of a client. It is immutable after it was read.
type Request struct {
	// Method, Target and Host are as sent; Target is path and query.
	Method, Target, Host string
	// Path is the path of Target.
	Path string
	// Header holds the headers that are passed on as they came.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Metadata is what the system knows of the request.
	Metadata Metadata
	// Arrived is when its head was read.
	Arrived time.Time
}

// Metadata is what the system knows of a request from its headers.
type Metadata struct {
	// ID is the client's identifier of the attempt.
	ID string
	// ClientTimeout is how long the client waits for the answer; zero if that is not told.
	ClientTimeout time.Duration
	// Model and Adapter name what generates the answer; both are empty for a plain service.
	Model, Adapter string
	// PromptTokens and OutputTokens size a generation; OutputTokens is a maximum.
	PromptTokens, OutputTokens int
	// Prefix lists the parts of the prompt in order; other requests share the first ones.
	Prefix []Part
	// LastEventID is the number of the last event that the client has; zero if it has none.
	LastEventID uint64
}

// Part is one part of a prompt.
type Part struct {
	// ID names the content.
	ID string
	// Tokens is its length.
	Tokens int
}

// Fingerprint identifies requests with the same method, host, path and body, whatever their IDs. Without a body the query
// counts too, since only it tells such requests apart.
func (request *Request) Fingerprint() uint64 {
	place := request.Path
	if len(request.Body) == 0 {
		place = request.Target
	}
	digest := xxhash.New()
	for _, text := range []string{request.Method, "\n", request.Host, "\n", place, "\n"} {
		_, _ = digest.WriteString(text)
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}
