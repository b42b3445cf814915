package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// leaseTime is the bound leaseMs of the sheet: within it, holders may not take turns.
	leaseTime = 3000 * time.Millisecond
	// replacedAfter is the time from the loss of a machine until another one comes in its place.
	replacedAfter = time.Second
	// Each engine holds one model. adapterCount adapters of each are asked for in turn, each askEvery, so that orders go out all the
	// time: an engine has room for maxAdapters.
	engineCount  = 4
	adapterCount = 40
	askEvery     = 40 * time.Millisecond
	// watched is how long orders are watched after the loss of the machine.
	watched = 12 * time.Second
)

// sameNameNewMachine loses the machine that gave the last order for good. Another machine comes at another address, under the name of
// the lost one.
func sameNameNewMachine(bed *bed) (bool, error) {
	var models []string
	for number := range engineCount {
		models = append(models, fmt.Sprintf("daka51%04d", number))
	}
	bed.configure(models, adapterCount)
	var mutex sync.Mutex
	var orders []order
	for number := range engineCount {
		next := &replica{id: fmt.Sprintf("i-eng%d", number), service: engineService, zone: zone(number), release: "v1", engine: true, models: []string{models[number]}}
		next.onOrder = func(received order) {
			mutex.Lock()
			defer mutex.Unlock()
			orders = append(orders, received)
		}
		if err := bed.addReplica(next, 100+number); err != nil {
			return false, err
		}
	}
	if err := bed.startMachines(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	clients.Go(func() { bed.askForModels(ctx, models, &clients) })
	last := func() (order, bool) {
		mutex.Lock()
		defer mutex.Unlock()
		if len(orders) == 0 {
			return order{}, false
		}
		return orders[len(orders)-1], true
	}
	lost, found := bed.awaitFreshOrder(last)
	if !found {
		return false, fmt.Errorf("no machine gave orders")
	}
	lostAt := time.Now()
	if bed.trouble != none {
		lost.kill()
		bed.record.add("machine %s at %s is lost for good", lost.name, lost.ip)
		time.Sleep(replacedAfter)
		if err := bed.replace(lost); err != nil {
			return false, err
		}
	}
	time.Sleep(watched)
	mutex.Lock()
	defer mutex.Unlock()
	before := slices.DeleteFunc(slices.Clone(orders), func(next order) bool { return next.at.After(lostAt) })
	after := slices.DeleteFunc(slices.Clone(orders), func(next order) bool { return !next.at.After(lostAt) })
	if len(after) == 0 {
		return false, fmt.Errorf("no order came after the loss of the machine")
	}
	var shortest time.Duration
	var former, next order
	for _, later := range after {
		for _, earlier := range before {
			gap := later.at.Sub(earlier.at)
			if earlier.replica == later.replica && earlier.Fence != later.Fence && (shortest == 0 || gap < shortest) {
				shortest, former, next = gap, earlier, later
			}
		}
	}
	if shortest == 0 {
		bed.record.add("no replica got orders of two machines")
		return false, nil
	}
	bed.record.add("%s got an order of the lost machine %s (%s, token %d) at %.3f s and one of another machine (%s, token %d) at %.3f s: %.3f s later, the rule asks for %.1f s",
		next.replica, lost.ip, former.Holder, former.Fence, bed.record.since(former.at), next.Holder, next.Fence, bed.record.since(next.at), shortest.Seconds(), leaseTime.Seconds())
	return shortest < leaseTime, nil
}

// replace starts another machine at another address in place of the lost one, under its name, or under a new one if TROUBLE is renamed.
func (bed *bed) replace(lost *machine) error {
	name := lost.name
	if bed.trouble == "renamed" {
		name = "front-" + lost.zone + "-9"
	}
	replacement := bed.newMachine(name, lost.zone, bed.ip(9))
	bed.machines = append(bed.machines, replacement)
	return bed.start(replacement)
}

// askForModels asks for one model after the other until the context ends.
func (bed *bed) askForModels(ctx context.Context, models []string, clients *sync.WaitGroup) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		machine := bed.machines[number%4]
		model := fmt.Sprintf("%s/a%d", models[number%len(models)], 1+number/len(models)%adapterCount)
		clients.Go(func() {
			request, release := context.WithTimeout(ctx, 15*time.Second)
			defer release()
			sent := newRequest(request, http.MethodPost, machine.front, planPath+"m", fmt.Sprintf("ask-%d", number), 15*time.Second, "{}")
			sent.Header.Set("Bronzestall-Model", model)
			sent.Header.Set("Bronzestall-Token-Usage", "1460,12")
			sent.Header.Set("Bronzestall-Prompt-Prefix", fmt.Sprintf("5c1e07a2:350,%x:1110", 4096+number))
			response, err := newClient().Do(sent)
			if err != nil {
				bed.record.add("request ask-%d at %s: no answer", number, machine.name)
				return
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
			bed.record.add("request ask-%d at %s for %s: %d", number, machine.name, model, response.StatusCode)
		})
	}
}

// awaitFreshOrder waits until a holder has given orders for some seconds, and returns its machine right after one of them.
func (bed *bed) awaitFreshOrder(last func() (order, bool)) (*machine, bool) {
	begin, deadline := time.Now().Add(6*time.Second), time.Now().Add(40*time.Second)
	for time.Now().Before(deadline) {
		if latest, given := last(); given && time.Now().After(begin) && time.Since(latest.at) < 200*time.Millisecond && latest.status < http.StatusMultipleChoices {
			for _, machine := range bed.machines {
				if machine.name == latest.Holder {
					return machine, true
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, false
}
