// Package bookpb contains the generated messages in which the statistics of package keepwarm are stored. book.proto is
// the source; make generate writes book.pb.go.
package bookpb
