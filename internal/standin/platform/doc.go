// Package platform stands in for the platform: table service, object store and VM list.
//
// It keeps everything in memory and gives strict transactions. Server is an
// http.Handler that speaks the protocol of the client in package platform.
package platform
