// Package datastore declares what the system needs of the platform: a table
// service with transactions, an object store and a list of VMs.
//
// The interfaces are narrow so that another outside protocol changes this
// package only. Client implements all three over HTTP. Every call can fail in
// two ways that callers must tell apart: ErrUnavailable means that the call
// took no effect, ErrUnclear means that a write may have taken effect and its
// answer was lost. An unclear write is settled by reading back.
package datastore
