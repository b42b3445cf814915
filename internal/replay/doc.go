// Package replay runs a keep-warm policy over a workload in virtual time and
// measures what its callers waited and what it cost.
//
// A model has one replica at most. A request that finds none starts a load and
// waits for it, as do those behind it. A replica is held until the policy
// wants none and no request runs. Checkpoints move down from memory to disk to
// the weight store as other models are used; loads from the weight store wait
// for one of its places.
package replay
