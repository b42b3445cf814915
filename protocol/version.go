package protocol

// Version is the version of the protocol between daemons that a build knows.
type Version int64

const (
	// Untold is the version of a daemon that tells none, or none that is usable.
	Untold Version = 0
	// Accounts is the first version whose daemons name the account of a request to replicas.
	Accounts Version = 2
	// EventZero is the first version whose daemons can go on with a stream after an event with the number zero for another daemon.
	EventZero Version = 3
	// Current is the version of this build.
	Current Version = 3
	// maxVersion is the highest version that counts as one.
	maxVersion Version = 100_000
)

// Relation is how the version of another daemon compares with Current.
type Relation string

// The relations.
const (
	Same  Relation = "Same"
	Older Relation = "Older"
	Newer Relation = "Newer"
)

// Relation returns how the version compares with Current.
func (version Version) Relation() Relation {
	switch {
	case version < Current:
		return Older
	case version > Current:
		return Newer
	default:
		return Same
	}
}

// Decode returns the version that a daemon told, and whether it is usable: negative ones and those above maxVersion count as
// Untold. A version of zero means that the daemon told none.
func Decode(told int64) (Version, bool) {
	if told < 0 || told > int64(maxVersion) {
		return Untold, false
	}
	return Version(told), true
}
