package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// table holds the claims. The name of a row is its day and the hash of tenant and key, so that the
// oldest rows come first.
const table = "Claims"

const (
	// day is the span of one bucket.
	day = 24 * time.Hour
	// nameBytes is the part of the hash that names a row.
	nameBytes = 16
	// keptDays is the number of days before today whose claims are not deleted.
	keptDays = 2
)

// bucket returns the number of the day.
func bucket(at time.Time) int64 {
	return at.Unix() / int64(day/time.Second)
}

// bucketPrefix returns the begin of the names of the rows of a day.
func bucketPrefix(number int64) string {
	return fmt.Sprintf("%08d/", number)
}

// keyName returns the part of the row name that does not depend on the day.
func keyName(tenant, key string) string {
	sum := sha256.Sum256([]byte(tenant + "\x00" + key))
	return hex.EncodeToString(sum[:nameBytes])
}

// rowKey returns the key of the claim in the bucket.
func rowKey(number int64, name string) datastore.Key {
	return datastore.Key{Table: table, Row: bucketPrefix(number) + name}
}

// maxSkew is the largest difference between the clocks of two daemons for which a claim of the next day is found.
const maxSkew = time.Hour

// readable returns the keys under which the claim can stand if clocks differ by at most maxSkew, likeliest first.
func readable(at time.Time, name string) []datastore.Key {
	keys := neighbours(at, name)
	if bucket(at.Add(maxSkew)) == bucket(at) {
		return keys[:2]
	}
	return keys[:]
}

// neighbours returns the keys under which a claim that still counts may stand, today's first. Those of
// the day before are kept for retention; those of the day after are made by daemons whose clock is ahead.
func neighbours(at time.Time, name string) [3]datastore.Key {
	today := bucket(at)
	return [3]datastore.Key{rowKey(today, name), rowKey(today-1, name), rowKey(today+1, name)}
}
