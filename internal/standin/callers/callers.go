package callers

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// pause is the time before a request is sent again.
const pause = 200 * time.Millisecond

// Callers send requests to daemons. Use New.
type Callers struct {
	settings Settings
	clock    clock.Clock
	client   *http.Client
	balancer *balancer

	mu     sync.Mutex
	report Report
	// calls holds the ending of each call by its key, and whether every sending was refused as not run.
	calls map[string]callEnd
}

// callEnd is the end of one call.
type callEnd struct {
	ending ending
	// allNotRun states that every sending was refused as not run.
	allNotRun bool
}

// New returns callers that have not sent anything.
func New(settings Settings, clk clock.Clock) *Callers {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return &Callers{
		settings: settings,
		clock:    clk,
		client:   client,
		balancer: &balancer{daemons: settings.Daemons, client: client, clock: clk, healthy: map[string]bool{}},
		report: Report{
			Chats: map[ending]int{}, Calls: map[ending]int{}, Sendings: map[ending]int{}, Refusals: map[string]int{},
		},
		calls: map[string]callEnd{},
	}
}

// Run sends requests for the duration, waits for their ends and judges them. It fails if a service does not tell its counts.
func (c *Callers) Run(ctx context.Context) (Report, error) {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	for _, daemon := range c.settings.Daemons {
		go c.balancer.watch(watching, daemon)
	}
	var all sync.WaitGroup
	gap := time.Duration(float64(time.Second) / c.settings.Rate)
	start := c.clock.Now()
	for number := 0; c.clock.Since(start) < c.settings.Duration && ctx.Err() == nil; number++ {
		all.Go(func() { c.chat(ctx, number) })
		all.Go(func() { c.call(ctx, number) })
		c.clock.Sleep(gap)
	}
	all.Wait()
	err := c.judge(ctx)
	return c.report, err
}

func (c *Callers) chat(ctx context.Context, number int) {
	last, _ := c.untilEnd(ctx, func(ctx context.Context, daemon string) sending { return c.sendChat(ctx, daemon, number) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Chats[last.ending]++
}

func (c *Callers) call(ctx context.Context, number int) {
	key := fmt.Sprintf("call-%d-%d", number, c.clock.Now().UnixNano())
	last, allNotRun := c.untilEnd(ctx, func(ctx context.Context, daemon string) sending { return c.sendCall(ctx, daemon, key) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Calls[last.ending]++
	c.calls[key] = callEnd{ending: last.ending, allNotRun: allNotRun}
}

// untilEnd sends until there is an answer, a final refusal or no patience left.
func (c *Callers) untilEnd(ctx context.Context, send func(ctx context.Context, daemon string) sending) (last sending, allNotRun bool) {
	start := c.clock.Now()
	allNotRun = true
	var trail []string
	for {
		daemon := c.balancer.pick()
		once, cancel := context.WithTimeout(ctx, c.settings.Sending)
		last = send(once, daemon)
		cancel()
		allNotRun = allNotRun && last.ending == notRun
		taken := c.clock.Since(start)
		trail = append(trail, fmt.Sprintf("%s %s %s after %s", daemon, last.ending, last.kind, taken.Round(time.Millisecond)))
		c.note(last, taken, trail)
		if last.final || taken > c.settings.Patience || ctx.Err() != nil {
			return last, allNotRun
		}
		c.clock.Sleep(pause)
	}
}

func (c *Callers) note(last sending, taken time.Duration, trail []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sendings[last.ending]++
	if last.kind != "" {
		c.report.Refusals[last.kind]++
	}
	if taken.Seconds() > c.report.LongestSeconds {
		c.report.LongestSeconds = taken.Seconds()
		c.report.Slowest = trail
	}
}
