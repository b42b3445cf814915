// Package release accepts release notes into the platform and follows the
// number in force.
//
// A Ledger accepts a note. It writes the note to the object store under its
// hash. One transaction then moves the row "InForce" of the table "Notes" from
// n to n+1, adds the row "History/<n+1>", and adds the row "Id/<identifier>",
// which reserves the identifier of the note. After a lost response the ledger
// retries the transaction, which can take effect at most once, and reads the
// row of the identifier.
//
// A Follower polls the number in force, fetches the differences that it lacks,
// and publishes an immutable InForce. The published number never decreases.
// Peers send each other differences and whole catalogues while the platform is
// unavailable.
package release
