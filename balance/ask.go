package balance

import "github.com/bronzestall/bronzestall/topology"

// Ask is what a request needs.
type Ask struct {
	// Affinity names the shared part of the prompt; requests with the same one prefer the same replica.
	Affinity string
	// Zone is the data centre of the daemon.
	Zone string
	// Exclude lists replicas that were tried.
	Exclude []topology.Incarnation
}

// Candidate is a replica that can serve the request.
type Candidate struct {
	topology.Incarnation
	// Address is the IP address and port.
	Address string
	// Zone is its data centre.
	Zone string
	// Slots is the number of requests that it runs at once; it is at least one.
	Slots int
}
