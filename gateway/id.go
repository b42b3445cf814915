package gateway

import (
	"crypto/rand"
)

// newID returns an identifier of a request that is unique for ever.
func newID() string {
	return rand.Text()
}
