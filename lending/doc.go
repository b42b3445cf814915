// Package lending passes client requests to other daemons that reach the replicas, and serves those of others.
//
// A daemon that is cut off from the replicas lends the path of another one: it sends the request over the address for
// daemons, with all that it is, and passes the response on as it arrives. There is one hop: a lent request is never passed
// on. A refusal states that the request has not run only if that is true for all that was done with it.
package lending
