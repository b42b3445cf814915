// Package release accepts release notes into the platform and follows the
// number in force.
//
// A Ledger accepts a note: the body goes to the object store under its hash,
// then one transaction moves the row "InForce" of the table "Notes" from n to
// n+1, adds the row "History/<n+1>" and claims the note's own identifier in the
// row "Id/<identifier>". A lost answer is settled by repeating the transaction,
// which can take effect once only, and by reading the row of the identifier.
//
// A Follower reads the number in force, fetches the differences that it lacks,
// and publishes an immutable InForce. The published number never falls. Peers
// give differences and whole catalogues to each other while the platform is away.
package release
