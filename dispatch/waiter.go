package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/queue"
	"github.com/bronzestall/bronzestall/route"
)

// waiter is one request that waits in a queue of a workload.
type waiter struct {
	// fingerprint is the fingerprint of the request.
	fingerprint  uint64
	requirements route.Requirements
	// adapterVersion is the version in force of the adapter that the request names.
	adapterVersion string
	// unordered states that the request waits in workload.unordered.
	unordered bool
	// granted is buffered for the one grant that the request receives, unless it leaves the queue before.
	granted chan grant
}

// entry is a waiter in a queue.
type entry = queue.Entry[*waiter]

// grant ends the wait of a request with a reservation or a failure.
type grant struct {
	reservation *reservation
	failure     *outcome.Error
}

// reservation is the right to run one request on one upstream. It must be released once.
type reservation struct {
	workload  *workload
	candidate route.Candidate
	// local states that the upstream is in this data centre.
	local bool
	sent  *route.Attempt
	// adapterVersion is the version in force of the adapter that the request names.
	adapterVersion string
	// since is the time of the grant.
	since time.Time
	// begun is when the response began, or equal to since before that.
	begun time.Time
	// fingerprint is the fingerprint of the request.
	fingerprint uint64
	cost        int
	// suspect states that the request is a suspect, which runs alone among suspects.
	suspect bool
	// tenant is the tenant that pays.
	tenant string
}
