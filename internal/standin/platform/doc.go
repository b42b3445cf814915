// Package platform simulates the platform: table service, object store and VM list.
//
// All data is kept in memory, and transactions are serializable. Server is an
// http.Handler that implements the protocol of the client in package datastore.
package platform
