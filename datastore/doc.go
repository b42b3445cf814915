// Package datastore declares the services that the platform provides: a table
// service with transactions, an object store and a list of VMs.
//
// The interfaces are narrow, so that a change of the platform's protocol affects
// this package only. Client implements all three over HTTP. Callers must
// distinguish two failures: ErrUnavailable means that the call took no effect;
// ErrUnclear means that the response to a write was lost and the write may have
// taken effect. To learn the outcome of an unclear write, read the row or object.
package datastore
