package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of each stream, and streamGap the time before each, within the targetGapMs of the route.
	streamEvents = 15
	streamGap    = 240 * time.Millisecond
	// crashes is how often an engine crashes, crashDown how long it is away, and crashPause the time from one crash to the next.
	crashes    = 8
	crashDown  = 3 * time.Second
	crashPause = 4500 * time.Millisecond
)

// zero plays engines that number the events of their streams from zero.
func zero(bed *bed, trouble bool) (bool, error) { return streams(bed, trouble, 0, "") }

// comments plays engines that write a comment after each event, as text/event-stream allows.
func comments(bed *bed, trouble bool) (bool, error) {
	return streams(bed, trouble, 1, ": heartbeat\n\n")
}

// streams plays streams with such events, and crashes of one engine at a time. No client may get an event twice, or miss one.
func streams(bed *bed, trouble bool, firstEvent int, comment string) (bool, error) {
	for _, zone := range []string{"a", "b", "c"} {
		// A sixth of the engines is the share that crashes at a time.
		if _, err := bed.addReplica("i-engine-"+zone+"2", engines, zone, "v1", "m0", "m1"); err != nil {
			return false, err
		}
	}
	if err := bed.usual(); err != nil {
		return false, err
	}
	var engineReplicas []*replica
	for _, replica := range bed.replicas {
		if replica.service == engines {
			replica.mutex.Lock()
			replica.first, replica.comment, replica.events, replica.gap = firstEvent, comment, streamEvents, streamGap
			replica.mutex.Unlock()
			engineReplicas = append(engineReplicas, replica)
		}
	}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(5 * time.Second)
		for number := range crashes {
			if trouble {
				replica := engineReplicas[number%len(engineReplicas)]
				bed.record.add("%s crashes", replica.id)
				replica.crash()
				time.Sleep(crashDown)
				if err := replica.start(); err != nil {
					bed.record.add("%s does not come back: %v", replica.id, err)
				}
				bed.record.add("%s is back", replica.id)
				time.Sleep(crashPause - crashDown)
			} else {
				time.Sleep(crashPause)
			}
		}
	}()
	var clients sync.WaitGroup
	var mutex sync.Mutex
	sent, whole, twice, missing := 0, 0, 0, 0
	for number, running := 0, true; running; number++ {
		select {
		case <-done:
			running = false
		default:
		}
		front := bed.fronts[number%len(bed.fronts)]
		id := fmt.Sprintf("stream-%d", number)
		clients.Go(func() {
			got := bed.send(fresh, front, http.MethodPost, "/plan/2f", id, "prompt of "+id, 30*time.Second,
				"Bronzestall-Model", "m0", "Bronzestall-Token-Usage", "1460,45", "Bronzestall-Prompt-Prefix", "5c1e07a2:350,"+fmt.Sprintf("%x", number)+":1110")
			ids := eventIDs(got.body)
			repeated, gap := faults(ids)
			mutex.Lock()
			defer mutex.Unlock()
			sent++
			if got.status == http.StatusOK && got.complete {
				whole++
			}
			if got.status == http.StatusOK && (repeated || gap || (got.complete && len(ids) != streamEvents)) {
				bed.record.add("WRONG %s has the events %v, complete %v, %d runs", id, ids, got.complete, len(bed.runsOf(id)))
			}
			if repeated {
				twice++
			}
			if gap {
				missing++
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	clients.Wait()
	bed.record.add("%d streams, %d whole; %d have an event twice, %d lack one in between", sent, whole, twice, missing)
	return twice+missing > 0, nil
}

// eventIDs returns the IDs of the events of a stream in order.
func eventIDs(body string) []int {
	var ids []int
	for _, line := range strings.Split(body, "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ := strconv.Atoi(text)
			ids = append(ids, id)
		}
	}
	return ids
}

// faults reports whether one of the IDs comes twice, and whether one is missing in between.
func faults(ids []int) (twice, missing bool) {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	for index := 1; index < len(sorted); index++ {
		twice = twice || sorted[index] == sorted[index-1]
		missing = missing || sorted[index] > sorted[index-1]+1
	}
	return twice, missing
}
