package callers

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// retryPause is the time between two attempts of a request.
const retryPause = 200 * time.Millisecond

// Callers simulates clients that send requests to daemons. Use New.
type Callers struct {
	settings Settings
	clock    clock.Clock
	client   *http.Client
	balancer *balancer

	mu     sync.Mutex
	report Report
	// calls holds the result of each call by its idempotency key.
	calls map[string]callResult
}

// callResult is the final result of one call.
type callResult struct {
	result result
	// allNotRun reports whether every attempt was refused as not run.
	allNotRun bool
}

// New returns callers with an empty report. Run starts them.
func New(settings Settings, clk clock.Clock) *Callers {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return &Callers{
		settings: settings,
		clock:    clk,
		client:   client,
		balancer: &balancer{daemons: settings.Daemons, client: client, clock: clk, healthy: map[string]bool{}},
		report: Report{
			Chats: map[result]int{}, Calls: map[result]int{}, Sendings: map[result]int{}, Refusals: map[string]int{},
		},
		calls: map[string]callResult{},
	}
}

// Run sends requests for the configured duration, waits until all have ended and verifies the calls. It returns
// an error if the counts of a service cannot be read.
func (c *Callers) Run(ctx context.Context) (Report, error) {
	monitorCtx, stop := context.WithCancel(ctx)
	defer stop()
	for _, daemon := range c.settings.Daemons {
		go c.balancer.monitor(monitorCtx, daemon)
	}
	var requests sync.WaitGroup
	interval := time.Duration(float64(time.Second) / c.settings.Rate)
	start := c.clock.Now()
	for number := 0; c.clock.Since(start) < c.settings.Duration && ctx.Err() == nil; number++ {
		requests.Go(func() { c.chat(ctx, number) })
		requests.Go(func() { c.call(ctx, number) })
		c.clock.Sleep(interval)
	}
	requests.Wait()
	err := c.verifyCalls(ctx)
	return c.report, err
}

func (c *Callers) chat(ctx context.Context, number int) {
	last, _ := c.sendUntilFinal(ctx, func(ctx context.Context, daemon string) attempt { return c.sendChat(ctx, daemon, number) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Chats[last.result]++
}

func (c *Callers) call(ctx context.Context, number int) {
	key := fmt.Sprintf("call-%d-%d", number, c.clock.Now().UnixNano())
	last, allNotRun := c.sendUntilFinal(ctx, func(ctx context.Context, daemon string) attempt { return c.sendCall(ctx, daemon, key) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Calls[last.result]++
	c.calls[key] = callResult{result: last.result, allNotRun: allNotRun}
}

// sendUntilFinal repeats attempts until one is final, Settings.Patience has passed or the context ends.
func (c *Callers) sendUntilFinal(ctx context.Context, send func(ctx context.Context, daemon string) attempt) (last attempt, allNotRun bool) {
	start := c.clock.Now()
	allNotRun = true
	var attempts []string
	for {
		daemon := c.balancer.pick()
		attemptCtx, cancel := context.WithTimeout(ctx, c.settings.Sending)
		last = send(attemptCtx, daemon)
		cancel()
		allNotRun = allNotRun && last.result == notRun
		elapsed := c.clock.Since(start)
		attempts = append(attempts, fmt.Sprintf("%s %s %s after %s", daemon, last.result, last.kind, elapsed.Round(time.Millisecond)))
		c.record(last, elapsed, attempts)
		if last.final || elapsed > c.settings.Patience || ctx.Err() != nil {
			return last, allNotRun
		}
		c.clock.Sleep(retryPause)
	}
}

func (c *Callers) record(last attempt, elapsed time.Duration, attempts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sendings[last.result]++
	if last.kind != "" {
		c.report.Refusals[last.kind]++
	}
	if elapsed.Seconds() > c.report.LongestSeconds {
		c.report.LongestSeconds = elapsed.Seconds()
		c.report.Slowest = attempts
	}
}
