package gateway

import (
	"crypto/rand"
)

// newID returns a random identifier of a request. It is unique in practice and never reused.
func newID() string {
	return rand.Text()
}
