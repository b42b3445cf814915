// Package bookpb holds the generated messages in which package keepwarm keeps
// what it learnt. book.proto is the source; make generate writes book.pb.go.
package bookpb
