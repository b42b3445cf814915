// Package peerpb holds the generated wire messages of package peer.
//
// peer.proto is the source; make generate writes peer.pb.go from it. Fields
// are added with new numbers and never reused, so that daemons of adjacent
// releases understand each other.
package peerpb
