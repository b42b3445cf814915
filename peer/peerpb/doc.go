// Package peerpb holds the generated messages of the calls between daemons, used by package peer.
//
// They are generated from peer.proto by make generate. New fields take new field numbers, and numbers are never
// reused, so that daemons of adjacent releases understand each other.
package peerpb
