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

// Client offers one load. Use New.
type Client struct {
	settings Settings
	clock    clock.Clock
	http     *http.Client
	random   *rand.Rand
	room     *semaphore.Weighted

	mu      sync.Mutex
	report  Report
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

// New returns a client that has not sent anything.
func New(settings Settings, clk clock.Clock) *Client {
	return &Client{
		settings: settings,
		clock:    clk,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.InFlight}},
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		room:     semaphore.NewWeighted(int64(settings.InFlight)),
		report:   Report{Refused: map[string]int{}, Failed: map[string]int{}},
		first:    newHistogram(),
		between:  newHistogram(),
		refusal:  newHistogram(),
	}
}

// Run offers the load and returns the report once every request ended.
func (client *Client) Run(ctx context.Context) Report {
	start := client.clock.Now()
	var all sync.WaitGroup
	client.arrive(ctx, start, &all)
	all.Wait()
	client.http.CloseIdleConnections()
	return client.finish(client.clock.Since(start))
}

// arrive starts the requests at their times.
func (client *Client) arrive(ctx context.Context, start time.Time, all *sync.WaitGroup) {
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
		if !client.room.TryAcquire(1) {
			client.report.NotOffered++
			continue
		}
		client.report.Offered++
		all.Go(func() {
			defer client.room.Release(1)
			client.ask(ctx, number)
		})
	}
}

func (client *Client) finish(taken time.Duration) Report {
	client.mu.Lock()
	defer client.mu.Unlock()
	report := client.report
	report.Seconds = taken.Seconds()
	report.TokensPerSecond = float64(report.Tokens) / report.Seconds
	report.GoodPerSecond = float64(report.Good) / report.Seconds
	report.FirstToken = quantiles(client.first)
	report.BetweenTokens = quantiles(client.between)
	report.Refusal = quantiles(client.refusal)
	return report
}

// body returns the request with a prompt of its own.
func (client *Client) body(number int) string {
	model := client.settings.Models[number%len(client.settings.Models)]
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"prompt %d of %d"}]}`,
		model, client.settings.Tokens, number, client.settings.Seed)
}
