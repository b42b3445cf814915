package topology

import (
	"crypto/sha256"
	"math"
)

// Account is a client account: who sends requests, how urgent they are and how much they may use.
type Account struct {
	// Name is unique in a configuration.
	Name string
	// Priority replaces that of the route if HasPriority is set; zero is the highest.
	Priority    int
	HasPriority bool
	// Quota bounds what the requests of the account use.
	Quota Quota
	// Keys lists the digests of the keys that identify the account.
	Keys []KeyDigest
}

// Quota is a token bucket that all daemons together keep to.
type Quota struct {
	// PerSecond is what the account may use per second, and Burst what it may use beyond that at once. If PerSecond is not positive
	// there is no limit.
	PerSecond, Burst float64
	// Tokens states that a request costs its tokens; otherwise each request costs one.
	Tokens bool
	// PlainTokens is the cost of a request that does not state its tokens, if Tokens is set.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (quota Quota) Limited() bool {
	return quota.PerSecond > 0 && !math.IsInf(quota.PerSecond, 1)
}

// Cost returns what a request with the size costs; stated is set if the request names its tokens.
func (quota Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case !quota.Tokens:
		return 1
	case !stated:
		return float64(max(quota.PlainTokens, 0))
	default:
		return float64(max(tokens, 0))
	}
}

// KeyDigest is the digest of a key. Keys themselves are not kept, so that no log, message or memory dump reveals them, and a look-up by
// digest takes no longer for a key that is nearly right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of the key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}
