package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// versionStreams streams of versionEvents events are under way when the replica crashes.
	versionStreams = 60
	versionEvents  = 150
	// restartsAfter is how long the replica is down that crashes.
	restartsAfter = 3 * time.Second
	// newEvery is the time between two new streams from the crash on, of newEvents events.
	newEvery  = 1500 * time.Millisecond
	newEvents = 4
)

// modelOnOtherVersion has two versions of a service side by side, three replicas each. The model is held by one replica of
// the older version and by those of the newer one. The former crashes, and its streams are taken up.
func modelOnOtherVersion(bed *bed) (bool, error) {
	models := []string{heldModel, "rada7437b5", "ravo486f6a"}
	bed.configure(models, 0)
	for number := range 6 {
		next := &replica{id: fmt.Sprintf("i-v1-%d", number), service: engineService, zone: zone(number), release: "v1", engine: true, models: []string{models[number%3]}}
		if number >= 3 {
			next.id, next.release, next.models = fmt.Sprintf("i-v2-%d", number-3), "v2", []string{heldModel}
		}
		if err := bed.addReplica(next, 100+number); err != nil {
			return false, err
		}
	}
	if err := bed.startMachines(); err != nil {
		return false, err
	}
	time.Sleep(seconds(4))
	chains := make([]*chain, versionStreams)
	var clients sync.WaitGroup
	for number := range chains {
		chains[number] = &chain{name: fmt.Sprintf("plan%02d", number), model: heldModel}
		clients.Go(func() {
			time.Sleep(time.Duration(number) * 10 * time.Millisecond)
			chains[number].run(bed, number, versionEvents)
		})
	}
	time.Sleep(seconds(3))
	if bed.trouble != none {
		bed.record.add("replica %s crashes", bed.replicas[0].id)
		go func() { _ = bed.replicas[0].restart("v1", restartsAfter) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var fresh, begun atomic.Int64
	clients.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			time.Sleep(newEvery)
			fresh.Add(1)
			next := &chain{name: fmt.Sprintf("new%02d", number), model: heldModel}
			next.try(bed, bed.machines[number%len(bed.machines)], 0, time.Now().Add(30*time.Second), newEvents)
			if next.last > 0 {
				begun.Add(1)
			}
		}
	})
	time.Sleep(seconds(22))
	cancel()
	clients.Wait()
	takenUp, wentOn := 0, 0
	for _, chain := range chains {
		if chain.tries > 1 {
			takenUp++
			if chain.last > chain.lastOfFirst {
				wentOn++
			}
		}
	}
	newShare := float64(begun.Load()) / float64(max(fresh.Load(), 1))
	share := float64(wentOn) / float64(max(takenUp, 1))
	bed.record.add("%d streams taken up, %d went on (%.2f); %d of %d new streams began (%.2f); the rule asks for half of that share, from 12 streams on",
		takenUp, wentOn, share, begun.Load(), fresh.Load(), newShare)
	return takenUp >= 12 && share < newShare/2, nil
}
