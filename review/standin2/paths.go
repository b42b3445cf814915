package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pathCharge is the prefix of a route that is not idempotent, and pathState that of an idempotent one below it, of the same service.
	pathCharge = "/cobro/"
	pathState  = "/cobro/estado/"
	// lossTime is how long one replica loses answers, of one request in lossEvery that it ran.
	lossTime  = 5 * time.Second
	lossEvery = 10
	// chargePause is the time between two charges of a client, and chargeClients the number of clients at each machine.
	chargePause   = 100 * time.Millisecond
	chargeClients = 2
	// plainEvery is the number of charges for each whose path has no encoded slash.
	plainEvery = 4
)

// chargeID returns the identifier of a charge.
func chargeID(number int64) string {
	if number%plainEvery == 0 {
		return fmt.Sprintf("plain-%d", number)
	}
	return fmt.Sprintf("slash-%d", number)
}

// playPaths has clients that send charges for an item whose name has a slash, encoded as %2F. The path of such a request begins with
// pathCharge and not with pathState. One replica of three loses the answers of some of the requests that it runs.
func playPaths(bed *bed) int {
	if bed.trouble {
		var loser *replica
		for _, replica := range bed.replicas {
			if replica.service == movedFrom {
				loser = replica
			}
		}
		loser.loseAnswers(lossEvery)
		bed.record.add("replica %s loses the answer of one in %d requests that it runs", loser.id, lossEvery)
	}
	var sent atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(lossTime)
	for _, client := range bed.clients {
		for range chargeClients {
			clients.Go(func() {
				for time.Now().Before(until) {
					number := sent.Add(1)
					id, path := chargeID(number), pathCharge+"estado%2F17"
					if number%plainEvery == 0 {
						path = pathCharge + "17"
					}
					status, err := client.sendTo(path, id, nil)
					bed.record.add("request %s: POST %s at %s: status %d %s", id, path, client.machine.name, status, errorText(err))
					time.Sleep(chargePause)
				}
			})
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	twice, ran := 0, 0
	for number := range sent.Load() {
		id := chargeID(number + 1)
		runs := 0
		for _, replica := range bed.replicas {
			replica.mutex.Lock()
			runs += replica.runs[id]
			replica.mutex.Unlock()
		}
		if runs > 0 {
			ran++
		}
		if runs > 1 {
			twice++
			bed.record.add("%s ran %d times", id, runs)
		}
	}
	bed.record.add("%d charges were sent, %d ran, %d of them more than once", sent.Load(), ran, twice)
	switch {
	case ran == 0:
		return notRun
	case twice > 0:
		return broken
	}
	return held
}

// loseAnswers makes the replica run requests and lose the answer of each one in so many.
func (replica *replica) loseAnswers(every int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.lossEvery = every
}

// losesAnswer reports whether the answer to a request that ran is to be lost.
func (replica *replica) losesAnswer() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.lossEvery == 0 {
		return false
	}
	replica.sinceLoss++
	return replica.sinceLoss%replica.lossEvery == 0
}

// abort ends the connection of a request without an answer.
func abort() { panic(http.ErrAbortHandler) }
