package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// modelClients is the number of clients of the crowd, and modelRequests how many requests each of them sends ahead.
	modelClients, modelRequests = 16, 2500
	// nameBytes is the length of the name of a model that does not exist, in bytes; maxHeaderBytes allows 16,384 for the whole head.
	nameBytes = 7000
	// modelTime is how long the case watches the daemon.
	modelTime = 40 * time.Second
)

// models plays a crowd that sends requests ahead without reading the answers, each for another model that does not exist. The daemon must
// stay within the memory of its machine.
func models(bed *bed, trouble bool) (bool, error) {
	if err := bed.usual(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	target := bed.fronts[0]
	if !bed.serves(target, "before-1") {
		return false, fmt.Errorf("no request is served before the crowd")
	}
	bed.record.add("%s has %.0f MiB", target.name, target.memory("VmRSS"))
	stop := make(chan struct{})
	var sent atomic.Int64
	var clients sync.WaitGroup
	if trouble {
		for client := range modelClients {
			clients.Go(func() { sendAhead(target, client, &sent, stop) })
		}
	}
	most, lookups, served := 0.0, 0, 0
	next := time.Now()
	for began := time.Now(); time.Since(began) < modelTime && !target.ended(); time.Sleep(50 * time.Millisecond) {
		most = max(most, target.memory("VmRSS"))
		if time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(time.Second)
		lookups++
		if bed.serves(target, fmt.Sprint("lookup-", lookups)) {
			served++
		}
		bed.record.add("%d requests of the crowd sent; %s has %.0f MiB", sent.Load(), target.name, target.memory("VmRSS"))
	}
	close(stop)
	clients.Wait()
	bed.record.add("%d of %d ordinary lookups were served", served, lookups)
	bed.record.add("%s took %.0f MiB; its machine has %d MiB", target.name, most, memoryMb)
	if target.ended() {
		bed.record.add("%s ended: %v", target.name, target.err)
		return true, nil
	}
	return most > memoryMb, nil
}

// sendAhead sends the requests of one client on one connection, and keeps it open without reading until stop is closed.
func sendAhead(target *process, client int, sent *atomic.Int64, stop chan struct{}) {
	conn, err := dial(target.client)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(modelTime))
	long := strings.Repeat("x", nameBytes)
	for number := range modelRequests {
		request := fmt.Sprintf("%s /chat/2f HTTP/1.1\r\nHost: %s\r\nBronzestall-Request-Id: ahead-%d-%d\r\nBronzestall-Deadline-Ms: 15000\r\nBronzestall-Model: %s%d-%d\r\nContent-Length: 0\r\n\r\n",
			http.MethodPost, host, client, number, long, client, number)
		if _, err := conn.Write([]byte(request)); err != nil {
			return
		}
		sent.Add(1)
	}
	<-stop
}
