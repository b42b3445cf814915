package dispatch

import "github.com/bronzestall/bronzestall/request"

// Deps holds the dependencies of a Dispatcher. Fleet, Engines and Demand are required.
type Deps struct {
	// Fleet returns the candidates for a request.
	Fleet Fleet
	// Engines gives access to the model engines.
	Engines Engines
	// Demand reports demand to the decider.
	Demand Demand
	// Services calls plain services; if nil, service calls are refused.
	Services Services
	// Claims prevents keyed non-idempotent calls from running twice; if nil, they are refused.
	Claims Claims
	// Transfers limits adapter transfers; nil means no limit.
	Transfers Transfers
	// Peers returns the load of the other daemons; nil means that there are none.
	Peers Peers
	// Suspects shares suspects with the other daemons; nil means that they are not shared.
	Suspects Suspects
	// OnAttempt is called before an attempt of a request is sent, with the attempt counted from one. It may be
	// nil.
	OnAttempt func(req *request.Request, attempt int)
}
