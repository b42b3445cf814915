package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/semaphore"
	"k8s.io/utils/clock"
)

// Client sends the requests of one load and collects the report. Use New.
type Client struct {
	settings Settings
	clock    clock.Clock
	http     *http.Client
	random   *rand.Rand
	inFlight *semaphore.Weighted

	mu            sync.Mutex
	report        Report
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	refusal       *hdrhistogram.Histogram
}

// New returns a client for the load. Run starts it.
func New(settings Settings, clk clock.Clock) *Client {
	return &Client{
		settings:      settings,
		clock:         clk,
		http:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.InFlight}},
		random:        rand.New(rand.NewPCG(settings.Seed, 0)),
		inFlight:      semaphore.NewWeighted(int64(settings.InFlight)),
		report:        Report{Refused: map[string]int{}, Failed: map[string]int{}},
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		refusal:       newHistogram(),
	}
}

// Run sends the requests of the load and returns the report when every request has ended.
func (client *Client) Run(ctx context.Context) Report {
	start := client.clock.Now()
	var requests sync.WaitGroup
	client.sendArrivals(ctx, start, &requests)
	requests.Wait()
	client.http.CloseIdleConnections()
	return client.buildReport(client.clock.Since(start))
}

// sendArrivals starts each request at its arrival time. It drops and counts arrivals beyond the bound in flight.
func (client *Client) sendArrivals(ctx context.Context, start time.Time, requests *sync.WaitGroup) {
	next := start
	for number := 0; ; number++ {
		gap := client.random.ExpFloat64() / client.settings.Rate
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if next.Sub(start) > client.settings.Duration {
			return
		}
		select {
		case <-client.clock.After(next.Sub(client.clock.Now())):
		case <-ctx.Done():
			return
		}
		if !client.inFlight.TryAcquire(1) {
			client.report.NotOffered++
			continue
		}
		client.report.Offered++
		requests.Go(func() {
			defer client.inFlight.Release(1)
			client.send(ctx, number)
		})
	}
}

func (client *Client) buildReport(elapsed time.Duration) Report {
	client.mu.Lock()
	defer client.mu.Unlock()
	report := client.report
	report.Seconds = elapsed.Seconds()
	report.TokensPerSecond = float64(report.Tokens) / report.Seconds
	report.GoodPerSecond = float64(report.Good) / report.Seconds
	report.FirstToken = quantiles(client.firstToken)
	report.BetweenTokens = quantiles(client.betweenTokens)
	report.Refusal = quantiles(client.refusal)
	return report
}

// body returns a request body with a unique prompt.
func (client *Client) body(number int) string {
	model := client.settings.Models[number%len(client.settings.Models)]
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"prompt %d of %d"}]}`,
		model, client.settings.Tokens, number, client.settings.Seed)
}
