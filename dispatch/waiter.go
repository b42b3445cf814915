package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/queue"
	"github.com/bronzestall/bronzestall/route"
)

// waiter is one request on its way through a lane.
type waiter struct {
	// fingerprint is the fingerprint of the request.
	fingerprint uint64
	ask         route.Requirements
	// adapterVersion is the version in force of the adapter that the request names.
	adapterVersion string
	// special states that the request waits in lane.special.
	special bool
	// granted has room for one grant and gets exactly one, unless the request leaves the queue by itself.
	granted chan grant
}

// entry is a waiter in a queue.
type entry = queue.Entry[*waiter]

// grant ends the wait of a request: it holds a place or a failure.
type grant struct {
	place   *place
	failure *outcome.Error
}

// place is the right to run one request on one upstream. It must be given back once.
type place struct {
	lane      *lane
	candidate route.Candidate
	// own states that the upstream is in this data centre.
	own  bool
	sent *route.Attempt
	// adapterVersion is the version in force of the adapter that the request names.
	adapterVersion string
	// since is the time of the grant.
	since time.Time
	// begun is the time when the answer began, or since.
	begun time.Time
	// fingerprint is the fingerprint of the request.
	fingerprint uint64
	cost        int
	// suspect states that the request runs alone among suspects.
	suspect bool
	// tenant is the tenant that pays.
	tenant string
}
