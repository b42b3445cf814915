package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// streamLength is the number of events of each stream, one each eventGap.
	streamLength = 80
	streamCount  = 16
	// downtime is how long all machines are without power.
	downtime = 1500 * time.Millisecond
	// replaceGap is the time between two replicas that are replaced, and serveOn how long one serves after its row is removed.
	replaceGap = 400 * time.Millisecond
	serveOn    = 3 * time.Second
	// clientTries is how often a client tries, and clientPause the shortest time between two tries.
	clientTries = 3
	clientPause = 2500 * time.Millisecond
	// longestGap is the time without an event after which a client abandons its stream: four times its objective of 3 s.
	longestGap = 12 * time.Second
)

// versionReplacedWhileDown has all machines lose power while streams run, and the replicas of the service replaced by those of a newer
// version before the machines are back.
func versionReplacedWhileDown(bed *bed) (bool, error) {
	bed.configure([]string{heldModel}, 0)
	for number := range 3 {
		if err := bed.addReplica(&replica{id: fmt.Sprintf("i-old%d", number), service: engineService, zone: zone(number), release: "v1", engine: true, models: []string{heldModel}}, 100+number); err != nil {
			return false, err
		}
	}
	if err := bed.startMachines(); err != nil {
		return false, err
	}
	time.Sleep(seconds(3))
	chains := make([]*chain, streamCount)
	var clients sync.WaitGroup
	for number := range chains {
		chains[number] = &chain{name: fmt.Sprintf("plan%02d", number), model: heldModel}
		clients.Go(func() {
			time.Sleep(time.Duration(number) * 20 * time.Millisecond)
			chains[number].run(bed, number, streamLength)
		})
	}
	time.Sleep(seconds(2))
	if err := bed.replaceWhileDown(bed.trouble != "release" && bed.trouble != none, bed.trouble != "kill" && bed.trouble != none); err != nil {
		return false, err
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
	if bed.trouble == none && complete < len(chains) {
		return false, fmt.Errorf("only %d of %d streams are complete without trouble", complete, len(chains))
	}
	return mixed > 2, nil
}

// replaceWhileDown takes the power of all machines away if kill is set, replaces the replicas one after the other if replace is set, and
// starts the machines again.
func (bed *bed) replaceWhileDown(kill, replace bool) error {
	var down sync.WaitGroup
	if kill {
		for _, machine := range bed.machines {
			down.Go(machine.kill)
		}
	}
	down.Wait()
	lost := time.Now()
	if replace {
		if err := bed.replaceReplicas(); err != nil {
			return err
		}
	}
	time.Sleep(downtime - time.Since(lost))
	for _, machine := range bed.machines {
		if !kill {
			break
		}
		if err := bed.start(machine); err != nil {
			return err
		}
	}
	return nil
}

// replaceReplicas starts a replica of the newer version for each one, which leaves then.
func (bed *bed) replaceReplicas() error {
	for number, replaced := range bed.replicas {
		if err := bed.addReplica(&replica{id: fmt.Sprintf("i-new%d", number), service: engineService, zone: replaced.zone, release: "v2", engine: true}, 110+number); err != nil {
			return err
		}
		replaced.leaveSilently(serveOn)
		time.Sleep(replaceGap)
	}
	return nil
}

// run sends the stream, and takes it up where it broke off, each time at the next machine.
func (chain *chain) run(bed *bed, number, events int) {
	deadline := time.Now().Add(30 * time.Second)
	moved := time.Now()
	last := 0
	for tries := range clientTries {
		machine := bed.machines[(number+tries)%len(bed.machines)]
		pause := chain.try(bed, machine, tries, deadline, events)
		if chain.last > last {
			last, moved = chain.last, time.Now()
		}
		if chain.complete || time.Since(moved) > longestGap || !time.Now().Before(deadline) {
			return
		}
		time.Sleep(max(pause, clientPause))
	}
}
