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

// echo answers each want with an estimate.
type echo struct{}

func (echo) HandleDemand(_ context.Context, _, _ string, wants []TargetDemand) (DemandResult, error) {
	answer := DemandResult{Decides: true, Decider: "entry-1"}
	for _, want := range wants {
		answer.Estimates = append(answer.Estimates, Estimate{Model: want.Model, Readiness: Loading, ReadyIn: time.Second})
	}
	return answer, nil
}

func (echo) Grant(context.Context, string, GrantRequest) (Grant, error) {
	return Grant{}, nil
}

// BenchmarkDemand is one report of demand over a loopback connection, both ends together.
func BenchmarkDemand(b *testing.B) {
	for _, models := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(models), func(b *testing.B) {
			node := NewNode(Settings{Name: "entry-1", Decider: echo{}}, clock.RealClock{}, rand.New(rand.NewPCG(1, 1)))
			server := httptest.NewUnstartedServer(node.Handler())
			server.Config.Protocols = &http.Protocols{}
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			defer server.Close()
			wants := make([]TargetDemand, models)
			message := &peerpb.DemandRequest{Sender: node.Self().digest()}
			for number := range wants {
				wants[number] = TargetDemand{Model: fmt.Sprintf("model-%04d", number), Waiting: 1, Running: 7, OldestDeadline: time.Now().Add(time.Minute)}
				message.Wants = append(message.Wants, encodeWant(wants[number], time.Now()))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := node.ReportDemand(context.Background(), server.Listener.Addr().String(), "dc-1", wants); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(message)), "sent-B/op")
		})
	}
}
