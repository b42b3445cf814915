package peer

import (
	"context"
	"time"
)

// TargetDemand is the demand for one target, a model or an adapter, at one daemon.
type TargetDemand struct {
	// Model and Adapter name the target; Adapter may be empty.
	Model, Adapter string
	// Waiting and Running count the requests in the queues and in flight.
	Waiting, Running int
	// Arrived counts the requests that arrived since the previous report.
	Arrived int
	// OldestDeadline is the earliest deadline of the waiting requests, or zero if none waits.
	OldestDeadline time.Time
}

// Readiness is the state of a target as the decider knows it.
type Readiness int

// The states of a target.
const (
	// Unknown means that the target is not in the catalogue of the decider.
	Unknown Readiness = iota
	// Served means that a replica serves the target.
	Served
	// Loading means that a replica of the target is being loaded.
	Loading
	// Decided means that a load of the target has been decided and is waiting to start.
	Decided
	// Refused means that the decider decides no load of the target at present.
	Refused
)

// Estimate is the decider's estimate for one target.
type Estimate struct {
	// Model and Adapter name the target.
	Model, Adapter string
	// Readiness is the state of the target.
	Readiness Readiness
	// ReadyIn is the expected time until a replica serves the target.
	ReadyIn time.Duration
	// Reason explains why a target is refused.
	Reason string
}

// DemandResult is the result of a demand report.
type DemandResult struct {
	// Decides states that the called daemon is the decider. If it is false, only Decider is set.
	Decides bool
	// Decider is the name of the daemon that is the decider, or empty if unknown.
	Decider string
	// Estimates holds one entry for each TargetDemand.
	Estimates []Estimate
}

// GrantRequest reports the adapter transfers of one daemon and requests a new grant.
type GrantRequest struct {
	// Sequence is that of the newest grant that the daemon has applied, or zero.
	Sequence uint64
	// InFlight and Waiting count its transfers.
	InFlight, Waiting int
}

// Grant is the response to a GrantRequest.
type Grant struct {
	// Decides states that the called daemon is the decider. If it is false, only Decider is set.
	Decides bool
	// Decider is the name of the daemon that is the decider, or empty if unknown.
	Decider string
	// Sequence rises with each grant to the same daemon.
	Sequence uint64
	// Transfers is the number of transfers that the daemon may have in flight.
	Transfers int
	// Lasts is how long the grant is valid after it is received.
	Lasts time.Duration
}

// Decider handles the calls of other daemons to the local decider. Its methods must return before the
// context's deadline.
type Decider interface {
	// HandleDemand records the demand of the daemon from for a data centre and returns estimates. An empty data
	// centre means that of the decider's daemon.
	HandleDemand(ctx context.Context, from, dataCentre string, demands []TargetDemand) (DemandResult, error)
	// Grant allots adapter transfers to the daemon from.
	Grant(ctx context.Context, from string, request GrantRequest) (Grant, error)
}

// Changes holds the changes after a number in force.
type Changes struct {
	// InForce is the number in force after the changes.
	InForce uint64
	// Snapshot states that Content is the full state rather than the release notes after the number.
	Snapshot bool
	// Content is the encoded snapshot or notes, in the encoding of the package of release notes.
	Content []byte
}

// Notes gives access to the release notes that a daemon has.
type Notes interface {
	// InForce returns the number in force at this daemon.
	InForce() uint64
	// Since returns the changes after a number in force.
	Since(ctx context.Context, after uint64) (Changes, error)
}
