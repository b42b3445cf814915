package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// table holds the claims. A row is named by its day and the hash of tenant and key, so that the
// oldest rows sort first.
const table = "Claims"

const (
	// day is the length of one bucket.
	day = 24 * time.Hour
	// hashBytes is the length of the truncated hash in a row name, in bytes.
	hashBytes = 16
	// retentionDays is the number of days before today whose claims are not deleted.
	retentionDays = 2
)

// bucket returns the number of the bucket of the time: the days since 1970, UTC.
func bucket(at time.Time) int64 {
	return at.Unix() / int64(day/time.Second)
}

// bucketPrefix returns the prefix of the row names of a bucket.
func bucketPrefix(number int64) string {
	return fmt.Sprintf("%08d/", number)
}

// keyHash returns the hash of tenant and key, the part of the row name that does not depend on the day.
func keyHash(tenant, key string) string {
	sum := sha256.Sum256([]byte(tenant + "\x00" + key))
	return hex.EncodeToString(sum[:hashBytes])
}

// rowKey returns the key of the row of a claim in a bucket.
func rowKey(number int64, name string) datastore.Key {
	return datastore.Key{Table: table, Row: bucketPrefix(number) + name}
}

// maxSkew is the largest clock skew between two daemons at which a claim of the next day is still found.
const maxSkew = time.Hour

// keysToRead returns the keys at which the claim may be stored if clocks differ by at most maxSkew, the most likely
// first.
func keysToRead(at time.Time, name string) []datastore.Key {
	keys := adjacentKeys(at, name)
	if bucket(at.Add(maxSkew)) == bucket(at) {
		return keys[:2]
	}
	return keys[:]
}

// adjacentKeys returns the keys at which an unexpired claim may be stored: today's, that of the day before, which
// is within the retention, and that of the day after, which a daemon with a fast clock writes.
func adjacentKeys(at time.Time, name string) [3]datastore.Key {
	today := bucket(at)
	return [3]datastore.Key{rowKey(today, name), rowKey(today-1, name), rowKey(today+1, name)}
}
