package peer

import (
	"context"
	"time"
)

// TargetDemand is the demand for one target at one daemon.
type TargetDemand struct {
	// Model and Adapter name the target; Adapter may be empty.
	Model, Adapter string
	// Waiting and Running count the requests for it.
	Waiting, Running int
	// Arrived counts the requests that came since the last call.
	Arrived int
	// OldestDeadline is the earliest deadline of those that wait, or zero.
	OldestDeadline time.Time
}

// Readiness is the state of a target at the decider.
type Readiness int

// The states of a target.
const (
	// Unknown means that the target is not in the catalogue of the decider.
	Unknown Readiness = iota
	// Served means that a replica serves it.
	Served
	// Loading means that a replica is being loaded.
	Loading
	// Decided means that a load is decided and waits for its turn.
	Decided
	// Refused means that no load will be decided now.
	Refused
)

// Estimate is the decider's answer for one target.
type Estimate struct {
	// Model and Adapter name the target.
	Model, Adapter string
	// Readiness is the state of the target.
	Readiness Readiness
	// ReadyIn is the time until a replica serves the target.
	ReadyIn time.Duration
	// Reason tells why a target is refused.
	Reason string
}

// DemandResult is the answer to Demand.
type DemandResult struct {
	// Decides states that the callee decides; without it only Decider is set.
	Decides bool
	// Decider is the name of the daemon that decides, if known.
	Decider string
	// Estimates holds one entry for each Want.
	Estimates []Estimate
}

// GrantRequest tells of the transfers of adapters of one daemon and asks for a new grant.
type GrantRequest struct {
	// Sequence is the newest grant that the daemon has taken up, or zero.
	Sequence uint64
	// InFlight and Waiting count its transfers.
	InFlight, Waiting int
}

// Grant is the answer to a GrantRequest.
type Grant struct {
	// Decides states that the callee decides; without it only Decider is set.
	Decides bool
	// Decider is the name of the daemon that decides, if known.
	Decider string
	// Sequence rises with every grant to one daemon.
	Sequence uint64
	// Transfers is the number of transfers that the daemon may have in flight.
	Transfers int
	// Lasts is how long the grant lasts from its receipt.
	Lasts time.Duration
}

// Decider is the local decider of a daemon. It must return within the context's deadline.
type Decider interface {
	// HandleDemand takes what a daemon's callers want of a data centre; an empty one is that of the daemon.
	HandleDemand(ctx context.Context, from, dataCentre string, wants []TargetDemand) (DemandResult, error)
	// Grant gives transfers of adapters to a daemon.
	Grant(ctx context.Context, from string, request GrantRequest) (Grant, error)
}

// Changes is what happened after a number in force.
type Changes struct {
	// InForce is the number that the changes lead to.
	InForce uint64
	// Snapshot states that Content is the whole state rather than the notes since.
	Snapshot bool
	// Content is encoded by the package of release notes.
	Content []byte
}

// Notes offers the release notes that a daemon has.
type Notes interface {
	// InForce returns the number in force at this daemon.
	InForce() uint64
	// Since returns the changes after a number.
	Since(ctx context.Context, after uint64) (Changes, error)
}
