// Package meshpb holds the messages between daemons, generated from mesh.proto.
package meshpb
