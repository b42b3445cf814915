package exchange

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/topology"
)

// Request is one attempt of a client. It must not be changed after it was read.
type Request struct {
	// Method, Target and Host are as the client sent them; Target is path and query.
	Method, Target, Host string
	// Path is the path of Target.
	Path string
	// Header holds the headers that are passed on unchanged.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Metadata is what was decoded from the headers.
	Metadata Metadata
	// Account is the client account of the request; nil without accounts, and on public routes.
	Account *topology.Account
	// KeyChecked is set if the request was admitted by a configuration with accounts, and has no key in its headers.
	KeyChecked bool
	// Arrived is when the head of the request was read.
	Arrived time.Time
}

// Metadata is what the system knows about a request from its headers.
type Metadata struct {
	// ID identifies the attempt; it is assigned by the client.
	ID string
	// ClientTimeout is how long the client waits for the response; zero if it does not state that.
	ClientTimeout time.Duration
	// Model and Adapter name what generates the response; both are empty for a plain service.
	Model, Adapter string
	// PromptTokens and OutputTokens are the size of a generation; OutputTokens is a maximum.
	PromptTokens, OutputTokens int
	// TokensStated is set if the request names its size.
	TokensStated bool
	// Key is the key that the client sent; empty if there is none.
	Key Secret
	// Prefix lists the parts of the prompt in order; other requests may share the first ones.
	Prefix []Part
	// LastEventID is the ID of the last event that the client has received, if it names one.
	LastEventID EventID
	// UnreadableEvent is set if the client names an event that it has received by something else than a number. A replica may
	// understand it.
	UnreadableEvent bool
	// Resumes is the ID of the attempt that brought the first event of the stream that the client takes up; empty if it
	// begins a new one.
	Resumes string
}

// Part is one part of a prompt.
type Part struct {
	// ID identifies the content.
	ID string
	// Tokens is its length in tokens.
	Tokens int
}

// AccountName returns the name of the client account, or an empty text.
func (request *Request) AccountName() string {
	if request.Account == nil {
		return ""
	}
	return request.Account.Name
}

// Fingerprint returns the same value for requests with the same method, host, path and body, whatever their IDs.
// Without a body the query counts too, since nothing else tells such requests apart. The cost is linear in the size
// of the body.
func (request *Request) Fingerprint() uint64 {
	target := request.Path
	if len(request.Body) == 0 {
		target = request.Target
	}
	digest := xxhash.New()
	for _, text := range []string{request.Method, "\n", request.Host, "\n", target, "\n"} {
		_, _ = digest.WriteString(text)
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// partSalt distinguishes the fingerprint of a part from that of a request.
const partSalt = 0x9e3779b97f4a7c15

// Fingerprint returns the same value for parts with the same content. It is never zero.
func (part Part) Fingerprint() uint64 {
	return max(xxhash.Sum64String(part.ID)^partSalt, 1)
}

// SharedParts returns the fingerprints of the parts of the prompt that other requests may share: all but the last, at most
// the given number, without duplicates.
func (request *Request) SharedParts(maximum int) []uint64 {
	prefix := request.Metadata.Prefix
	if len(prefix) < 2 {
		return nil
	}
	shared := make([]uint64, 0, min(len(prefix)-1, maximum))
	for _, part := range prefix[:len(prefix)-1] {
		if len(shared) == maximum {
			break
		}
		if fingerprint := part.Fingerprint(); !slices.Contains(shared, fingerprint) {
			shared = append(shared, fingerprint)
		}
	}
	return shared
}
