// Package rollout tells which releases of a service are about to have no replica.
//
// While a newer release takes the place of an older one, or the older one comes back, replicas of one release leave one after the
// other and replicas of another join. The package observes how many replicas of each release accept new requests, and estimates from
// the pace at which they leave when the last one will have left. It does no I/O and takes the time as an argument.
package rollout
