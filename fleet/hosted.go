package fleet

import "github.com/bronzestall/bronzestall/upstream"

// HostedReplica is one replica with the upstream that holds it.
type HostedReplica struct {
	// Entry is the upstream; it is shared and must not be changed.
	Entry *Entry
	// Replica is the replica; its slices are shared and must not be changed.
	Replica upstream.Replica
}
