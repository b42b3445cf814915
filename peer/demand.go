package peer

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// ReportDemand tells the decider of the data centre at the address what this daemon's callers want; an
// empty data centre is the own one. Repeating it is harmless. It fails when the context ends or the timeout passes.
func (node *Node) ReportDemand(ctx context.Context, address, dataCentre string, wants []TargetDemand) (DemandResult, error) {
	request := &peerpb.DemandRequest{Sender: node.Self().digest(), DataCentre: dataCentre}
	now := node.clock.Now()
	for _, want := range wants {
		request.Wants = append(request.Wants, encodeWant(want, now))
	}
	ctx, cancel := node.bound(ctx)
	defer cancel()
	response, err := call[peerpb.DemandRequest, peerpb.DemandResponse](ctx, node.wire, address, demandProcedure, request)
	if err != nil {
		return DemandResult{}, err
	}
	answer := DemandResult{Decides: response.GetDecides(), Decider: response.GetDecider()}
	for _, estimate := range response.GetEstimates() {
		answer.Estimates = append(answer.Estimates, decodeEstimate(estimate))
	}
	return answer, nil
}

func (node *Node) serveDemand(ctx context.Context, request *peerpb.DemandRequest) (*peerpb.DemandResponse, error) {
	if node.settings.Decider == nil {
		return nil, ErrNotOffered
	}
	now := node.clock.Now()
	wants := make([]TargetDemand, 0, len(request.GetWants()))
	for _, want := range request.GetWants() {
		wants = append(wants, decodeWant(want, now))
	}
	answer, err := node.settings.Decider.HandleDemand(ctx, request.GetSender().GetName(), request.GetDataCentre(), wants)
	if err != nil {
		return nil, err
	}
	response := &peerpb.DemandResponse{Decides: answer.Decides, Decider: answer.Decider}
	for _, estimate := range answer.Estimates {
		response.Estimates = append(response.Estimates, encodeEstimate(estimate))
	}
	return response, nil
}

func encodeWant(want TargetDemand, now time.Time) *peerpb.Want {
	message := &peerpb.Want{
		Model:   want.Model,
		Adapter: want.Adapter,
		Waiting: uint32(want.Waiting),
		Running: uint32(want.Running),
		Arrived: uint32(want.Arrived),
	}
	if !want.OldestDeadline.IsZero() {
		message.Remaining = max(want.OldestDeadline.Sub(now).Milliseconds(), 1)
	}
	return message
}

func decodeWant(message *peerpb.Want, now time.Time) TargetDemand {
	want := TargetDemand{
		Model:   message.GetModel(),
		Adapter: message.GetAdapter(),
		Waiting: int(message.GetWaiting()),
		Running: int(message.GetRunning()),
		Arrived: int(message.GetArrived()),
	}
	if message.GetRemaining() > 0 {
		want.OldestDeadline = now.Add(duration(uint64(message.GetRemaining())))
	}
	return want
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
		ReadyIn:   duration(uint64(max(message.GetReady(), 0))),
		Reason:  message.GetReason(),
	}
	if state := message.GetState(); state <= uint32(Refused) {
		estimate.Readiness = Readiness(state)
	}
	return estimate
}
