package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
)

const (
	// modelCrowd is the number of connections of the crowd at one machine, and aheadRequests the number of requests that each sends ahead.
	modelCrowd    = 8
	aheadRequests = 4000
	// nameBytes is the length of the names of the models.
	nameBytes = 12000
)

// playModels has crowds that send many requests ahead on one connection without reading the responses; each names another model.
func playModels(bed *bed) int {
	var sent atomic.Int64
	filler := strings.Repeat("m", nameBytes)
	bed.crowd(modelCrowd, func(connection net.Conn) {
		for range aheadRequests {
			number := sent.Add(1)
			request := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nBronzestall-Request-Id: crowd-%d\r\nBronzestall-Model: %d%s\r\n"+
				"Bronzestall-Token-Usage: 60,20\r\nBronzestall-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", pathStream, host, number, number, filler)
			if _, err := connection.Write([]byte(request)); err != nil {
				return
			}
		}
	})
	bed.record.add("%d requests were sent ahead", sent.Load())
	return bed.judge()
}
