// Package statisticspb contains the generated messages in which the statistics of package keepwarm are stored.
// statistics.proto is the source; make generate writes statistics.pb.go.
package statisticspb
