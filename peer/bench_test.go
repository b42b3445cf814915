package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// readySoonDecider estimates for each demand that its target is being loaded.
type readySoonDecider struct{}

func (readySoonDecider) HandleDemand(_ context.Context, _, _ string, demands []TargetDemand) (DemandResult, error) {
	result := DemandResult{Decides: true, Decider: "entry-1"}
	for _, demand := range demands {
		result.Estimates = append(result.Estimates, Estimate{Model: demand.Model, Readiness: Loading, ReadyIn: time.Second})
	}
	return result, nil
}

func (readySoonDecider) Grant(context.Context, string, GrantRequest) (Grant, error) {
	return Grant{}, nil
}

// BenchmarkDemand measures one demand report over a loopback connection, both ends together.
func BenchmarkDemand(b *testing.B) {
	for _, models := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(models), func(b *testing.B) {
			node := NewNode(Settings{Name: "entry-1", Decider: readySoonDecider{}}, clock.RealClock{}, rand.New(rand.NewPCG(1, 1)))
			server := httptest.NewUnstartedServer(node.Handler())
			server.Config.Protocols = &http.Protocols{}
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			defer server.Close()
			demands := make([]TargetDemand, models)
			message := &peerpb.DemandRequest{Sender: node.Self().digest()}
			for index := range demands {
				demands[index] = TargetDemand{Model: fmt.Sprintf("model-%04d", index), Waiting: 1, Running: 7, OldestDeadline: time.Now().Add(time.Minute)}
				message.Wants = append(message.Wants, encodeDemand(demands[index], time.Now()))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := node.ReportDemand(context.Background(), server.Listener.Addr().String(), "dc-1", demands); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(message)), "sent-B/op")
		})
	}
}
