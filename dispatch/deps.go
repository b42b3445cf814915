package dispatch

import "github.com/bronzestall/bronzestall/request"

// Deps are what a Dispatcher needs. Fleet, Engines and Demand are required.
type Deps struct {
	// Fleet tells what can serve a request.
	Fleet Fleet
	// Engines gives access to the model engines.
	Engines Engines
	// Demand tells the decider what is needed.
	Demand Demand
	// Services calls plain services; nil refuses service calls.
	Services Services
	// Claims keeps keyed non-idempotent calls from running twice; nil refuses them.
	Claims Claims
	// Transfers limits adapter transfers; nil means no limit.
	Transfers Transfers
	// Peers tells what the other daemons run; nil means that there are none.
	Peers Peers
	// Suspects tells other daemons of requests that crash upstreams; nil tells nobody.
	Suspects Suspects
	// OnAttempt is called when an attempt of a request is about to be sent, counted from one; nil is not called.
	OnAttempt func(req *request.Request, attempt int)
}
