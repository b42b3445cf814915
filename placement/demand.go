package placement

import "time"

// Demand is what one router says of one target. It is repeated while something waits, so that a
// lost report does no harm and a new decider gets it anew.
type Demand struct {
	// Model is the name of the model.
	Model string `json:"Model"`
	// Adapter is the name of the adapter, or empty.
	Adapter string `json:"Adapter,omitempty"`
	// Waiting is the number of requests that no replica has taken.
	Waiting int `json:"Waiting"`
	// Running is the number of requests that replicas have taken.
	Running int `json:"Running"`
	// Oldest is the earliest deadline among the waiting requests.
	Oldest time.Time `json:"Oldest"`
	// Rate is the number of arrivals a second.
	Rate float64 `json:"Rate,omitempty"`
}

// ModelDemand is the demand for one model over all routers of a data centre.
type ModelDemand struct {
	// Model is the name of the model.
	Model string
	// Waiting and Running are the sums over routers.
	Waiting, Running int
	// Deadline is the earliest deadline of a waiting request.
	Deadline time.Time
}

// WarmTarget is the wish to keep replicas of a model loaded.
type WarmTarget struct {
	// Model is the name of the model.
	Model string
	// Replicas is the number of replicas.
	Replicas int
}
