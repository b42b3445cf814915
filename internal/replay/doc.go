// Package replay simulates a keep-warm policy on a workload in virtual time and
// measures the cold-start times of the requests and the idle accelerator time.
//
// A model has at most one replica. A request for a model without a replica
// starts a load and waits for it, as do the requests that follow. A replica is
// kept until the policy requests none and no request runs. Checkpoints are evicted
// from memory to disk and from disk to the weight store, least recently used
// first. Loads from the weight store wait for one of its slots.
package replay
