// Package bytebudget bounds the bytes that a process holds of responses and request bodies that it reads whole.
//
// Each is bounded by itself, and their number is not: a replica that sends bytes without end, slowly and to many requests, or many clients
// that stop just short of the end of their bodies, would take the memory of the process and end the requests of all others. A Budget is
// drawn on by each reader as what it reads grows. When it is short, it ends what is likeliest to be of no use: the largest response of the
// replica whose responses hold the most, or the slowest and least complete body of the client address whose bodies hold the most.
//
// The package does no I/O.
package bytebudget
