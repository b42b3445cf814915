// Package lendingpb holds the messages of requests that daemons pass to each other, generated from lending.proto.
package lendingpb
