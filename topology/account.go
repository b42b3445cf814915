package topology

import (
	"crypto/sha256"
	"math"
	"time"
)

// Account is a client account, with the priority and the quota of its requests.
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

// maxCostTime is the time at the rate of the quota that one request may cost at most, beside the burst. A size beyond every engine's memory
// would otherwise leave a debt that lasts for years.
const maxCostTime = 10 * time.Second

// Cost returns what a request costs with the numbers of tokens of its prompt and output; stated is set if the request names them.
func (quota Quota) Cost(prompt, output int, stated bool) float64 {
	switch {
	case !quota.Tokens:
		return 1
	case !stated:
		return float64(max(quota.PlainTokens, 0))
	default:
		return min(float64(max(prompt, 0))+float64(max(output, 0)), quota.PerSecond*maxCostTime.Seconds()+quota.Burst)
	}
}

// KeyDigest is the digest of a key. Keys themselves are not kept, so that requests are compared with digests, and a look-up by digest
// takes no longer for a key that is nearly right. The stored row of the configuration, which daemons hand to each other, has the keys.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of the key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}
