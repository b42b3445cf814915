// Package outcome holds the closed list of error kinds and the outcome words.
//
// Every request that is not answered in full ends with exactly one Kind. The
// table in this package gives for each Kind the HTTP status, the Word that
// tells the caller whether the request was executed, and the retry advice.
// The Word is a property of the Kind and never of a single error, so that a
// truthful answer does not depend on the place that reports it.
package outcome
