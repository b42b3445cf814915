// Package outcome defines the error kinds of requests and what each one states
// about their execution.
//
// Every request that is not answered in full ends with exactly one Kind. The
// table in this package gives for each Kind the HTTP status, the Execution that
// tells the caller whether the request was executed, and the retry advice.
// Execution depends on the Kind alone, never on a single error, so that the
// statement is true wherever the error was reported.
package outcome
