package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// copyStreams streams of copyEvents events run when the store comes back from an older copy.
	copyStreams = 96
	copyEvents  = 150
	// chatsPerSecond is the rate of the sheet's short streams, beside them.
	chatsPerSecond = 50
	// copyAge is the age of the copy, and awayFor how long the store is away.
	copyAge = 9 * time.Second
	awayFor = 2 * time.Second
	// settled is the time from the restart of a replica with the newer version until the store is away, and crashAfter the time from the
	// return of the store until another replica crashes, which is down for crashFor.
	settled    = 4 * time.Second
	crashAfter = 900 * time.Millisecond
	crashFor   = 2 * time.Second
)

// versionInOlderCopy has one replica start again under its identifier with the newer version. Then the store comes back from a copy in which
// the row of that replica names the older version, and another replica crashes before the row is written again.
func versionInOlderCopy(bed *bed) (bool, error) {
	bed.configure([]string{heldModel}, 0)
	for number := range 4 {
		if err := bed.addReplica(&replica{id: fmt.Sprintf("i-eng%d", number), service: engineService, zone: zone(number), release: "v1", engine: true, models: []string{heldModel}}, 100+number); err != nil {
			return false, err
		}
	}
	if err := bed.startMachines(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var chatting sync.WaitGroup
	defer chatting.Wait()
	defer cancel()
	chatting.Go(func() { bed.chatter(ctx, chatsPerSecond, 12, &chatting) })
	time.Sleep(seconds(6))
	chains := make([]*chain, copyStreams)
	var clients sync.WaitGroup
	for number := range chains {
		chains[number] = &chain{name: fmt.Sprintf("plan%02d", number), model: heldModel}
		clients.Go(func() {
			time.Sleep(time.Duration(number) * 15 * time.Millisecond)
			chains[number].run(bed, number, copyEvents)
		})
	}
	time.Sleep(seconds(1.5))
	if err := bed.replicas[0].restart("v2", 300*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(settled)
	if bed.trouble != none && bed.trouble != "crash" {
		away := time.Now()
		bed.rows.leave()
		bed.record.add("the store is away")
		time.Sleep(awayFor)
		bed.rows.comeBack(away.Add(-copyAge))
		bed.replicas[0].beat <- struct{}{}
		bed.record.add("the store is back from a copy that is %v old", copyAge)
	}
	time.Sleep(crashAfter)
	if bed.trouble != none && bed.trouble != "restore" {
		bed.record.add("replica %s crashes", bed.replicas[1].id)
		if err := bed.replicas[1].restart("v1", crashFor); err != nil {
			return false, err
		}
	}
	clients.Wait()
	mixed, complete := 0, 0
	for _, chain := range chains {
		if len(chain.versions) > 1 {
			mixed++
		}
		if chain.complete {
			complete++
		}
	}
	bed.record.add("%d streams, %d complete, %d hold events of two versions (the rule allows 2)", len(chains), complete, mixed)
	return mixed > 2, nil
}
