package placement

import "time"

// Demand is the demand that one router reports for one model or adapter. Routers repeat the
// report while requests wait, so that a lost report does no harm and a new decider receives the
// demand again.
type Demand struct {
	// Model is the name of the model.
	Model string `json:"Model"`
	// Adapter is the name of the adapter, or empty.
	Adapter string `json:"Adapter,omitempty"`
	// Waiting is the number of requests that are not assigned to a replica.
	Waiting int `json:"Waiting"`
	// Running is the number of requests that are assigned to a replica.
	Running int `json:"Running"`
	// Oldest is the earliest deadline of the waiting requests.
	Oldest time.Time `json:"Oldest"`
	// Rate is the number of arrivals a second.
	Rate float64 `json:"Rate,omitempty"`
}

// ModelDemand is the demand for one model, summed over all routers of a data centre.
type ModelDemand struct {
	// Model is the name of the model.
	Model string
	// Waiting and Running are the sums over the routers.
	Waiting, Running int
	// Deadline is the earliest deadline of the waiting requests.
	Deadline time.Time
}

// WarmTarget is the number of replicas of a model to keep loaded without demand.
type WarmTarget struct {
	// Model is the name of the model.
	Model string
	// Replicas is the number of replicas.
	Replicas int
}
