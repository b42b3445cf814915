// Package bytebudget bounds the bytes that a process holds of responses that it reads whole.
//
// Each response is bounded by itself, and their number is not: a replica that sends bytes without end, slowly and to many requests, would
// take the memory of the process and end the requests of all others. A Budget is drawn on by each reader as its response grows. When it is
// short, it ends what is likeliest to be no response: the largest one of the replica whose responses hold the most.
//
// The package does no I/O.
package bytebudget
