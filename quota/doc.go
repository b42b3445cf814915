// Package quota keeps the requests of client accounts to their quotas over all daemons together.
//
// For each account one daemon, the grantor, fills a token bucket and grants amounts of it to the daemons that ask. These hold granted
// amounts for a short time, ahead of their demand. The package does no I/O and takes the time as an argument.
package quota
