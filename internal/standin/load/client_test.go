package load

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
	"github.com/bronzestall/bronzestall/internal/standin/network"
)

// TestReportMatchesEngineCounts offers more load than the engine can serve and compares the counts of both.
func TestReportMatchesEngineCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := engine.New(engine.Settings{Batch: 4, Waiting: 4, TokenEvery: 25 * time.Millisecond}, clock.RealClock{})
		server.AddReplica("m@1")
		listener := network.NewPipe()
		httpServer := &http.Server{Handler: server}
		go func() { _ = httpServer.Serve(listener) }()
		client := New(Settings{
			Address: "e1", Models: []string{"m"}, Version: "1", Rate: 20, Tokens: 20,
			Duration: 20 * time.Second, Timeout: time.Minute, InFlight: 100, GoodFirstToken: time.Second, Seed: 1,
		}, clock.RealClock{})
		client.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, a, b string) (net.Conn, error) {
			return listener.Dial(ctx, a, b)
		}
		report := client.Run(t.Context())
		counts := server.Counts()
		if report.Completed == 0 || report.Completed != counts.Completed || report.Refused["409 Conflict"] != counts.Refused["full"] {
			t.Errorf("report %+v, counts %+v", report, counts)
		}
		if report.Offered != report.Completed+report.Refused["409 Conflict"] || report.Tokens != 20*report.Completed {
			t.Errorf("report does not add up: %+v", report)
		}
		if got := report.BetweenTokens; got.P50 < 24.9 || got.P99 > 25.1 {
			t.Errorf("time between tokens is %+v", got)
		}
		server.Close()
		_ = httpServer.Close()
	})
}
