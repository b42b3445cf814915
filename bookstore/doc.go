// Package bookstore keeps a keepwarm.Book in the platform's table service.
//
// The book is stored in parts, one row each, for each data centre. A change is
// merged into the row by a transaction that depends on the row's version, and
// carries the name of its saver and a sequence number, so that a change whose
// answer was lost is entered once. What others learnt is never overwritten.
package bookstore
