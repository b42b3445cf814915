package peer

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// ReportDemand reports this daemon's demand for a data centre to the decider at the address and returns its
// estimates. An empty data centre means that of this daemon. Repeated calls are harmless. It fails when the
// context ends or after the timeout.
func (node *Node) ReportDemand(ctx context.Context, address, dataCentre string, demands []TargetDemand) (DemandResult, error) {
	request := &peerpb.DemandRequest{Sender: node.Self().digest(), DataCentre: dataCentre}
	now := node.clock.Now()
	for _, demand := range demands {
		request.Wants = append(request.Wants, encodeDemand(demand, now))
	}
	ctx, cancel := node.withTimeout(ctx)
	defer cancel()
	response, err := call[peerpb.DemandRequest, peerpb.DemandResponse](ctx, node.client, address, demandProcedure, request)
	if err != nil {
		return DemandResult{}, err
	}
	result := DemandResult{Decides: response.GetDecides(), Decider: response.GetDecider()}
	for _, estimate := range response.GetEstimates() {
		result.Estimates = append(result.Estimates, decodeEstimate(estimate))
	}
	return result, nil
}

func (node *Node) serveDemand(ctx context.Context, request *peerpb.DemandRequest) (*peerpb.DemandResponse, error) {
	if node.settings.Decider == nil {
		return nil, ErrNotOffered
	}
	now := node.clock.Now()
	demands := make([]TargetDemand, 0, len(request.GetWants()))
	for _, message := range request.GetWants() {
		demands = append(demands, decodeDemand(message, now))
	}
	result, err := node.settings.Decider.HandleDemand(ctx, request.GetSender().GetName(), request.GetDataCentre(), demands)
	if err != nil {
		return nil, err
	}
	response := &peerpb.DemandResponse{Decides: result.Decides, Decider: result.Decider}
	for _, estimate := range result.Estimates {
		response.Estimates = append(response.Estimates, encodeEstimate(estimate))
	}
	return response, nil
}

func encodeDemand(demand TargetDemand, now time.Time) *peerpb.Want {
	message := &peerpb.Want{
		Model:   demand.Model,
		Adapter: demand.Adapter,
		Waiting: uint32(demand.Waiting),
		Running: uint32(demand.Running),
		Arrived: uint32(demand.Arrived),
	}
	if !demand.OldestDeadline.IsZero() {
		message.Remaining = max(demand.OldestDeadline.Sub(now).Milliseconds(), 1)
	}
	return message
}

func decodeDemand(message *peerpb.Want, now time.Time) TargetDemand {
	demand := TargetDemand{
		Model:   message.GetModel(),
		Adapter: message.GetAdapter(),
		Waiting: int(message.GetWaiting()),
		Running: int(message.GetRunning()),
		Arrived: int(message.GetArrived()),
	}
	if message.GetRemaining() > 0 {
		demand.OldestDeadline = now.Add(decodeDuration(uint64(message.GetRemaining())))
	}
	return demand
}

func encodeEstimate(estimate Estimate) *peerpb.Estimate {
	return &peerpb.Estimate{
		Model:   estimate.Model,
		Adapter: estimate.Adapter,
		State:   uint32(estimate.Readiness),
		Ready:   estimate.ReadyIn.Milliseconds(),
		Reason:  estimate.Reason,
	}
}

func decodeEstimate(message *peerpb.Estimate) Estimate {
	estimate := Estimate{
		Model:   message.GetModel(),
		Adapter: message.GetAdapter(),
		ReadyIn: decodeDuration(uint64(max(message.GetReady(), 0))),
		Reason:  message.GetReason(),
	}
	if state := message.GetState(); state <= uint32(Refused) {
		estimate.Readiness = Readiness(state)
	}
	return estimate
}
