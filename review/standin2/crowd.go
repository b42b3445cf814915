package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdTime is how long the crowds come.
	crowdTime = 30 * time.Second
	// crowdPause is the pause of a client of a crowd after its connection ended.
	crowdPause = 500 * time.Millisecond
	// headCrowd is the number of connections that a crowd has open at one machine, less than a third of its descriptors, and headBytes the
	// length of what each sends, below maxHeaderBytes of the configuration.
	headCrowd = 1300
	headBytes = 16000
	// minEnds and minMachines are the figures of the rule: so many ends of a process, at so many machines.
	minEnds     = 3
	minMachines = 2
)

// judge returns whether the rule Fault is broken.
func (bed *bed) judge() int {
	machines := 0
	for _, machine := range bed.machines {
		machine.mutex.Lock()
		if machine.ended >= minEnds {
			machines++
		}
		machine.mutex.Unlock()
	}
	bed.record.add("%d machines whose processes ended %d times or more; the rule is broken from %d on", machines, minEnds, minMachines)
	if machines >= minMachines {
		return broken
	}
	return held
}

// awaitEnds waits until the rule is broken, or for crowdTime.
func (bed *bed) awaitEnds() {
	for until := time.Now().Add(crowdTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ended := 0
		for _, machine := range bed.machines {
			machine.mutex.Lock()
			if machine.ended >= minEnds {
				ended++
			}
			machine.mutex.Unlock()
		}
		if ended >= minMachines {
			return
		}
	}
}

// crowd has clients at two of the machines, each of which opens a connection, does what it does there, and waits until it is closed.
func (bed *bed) crowd(size int, misbehave func(connection net.Conn)) {
	if !bed.trouble {
		time.Sleep(crowdTime)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, machine := range bed.machines[:minMachines] {
		bed.record.add("%d clients come to %s", size, machine.name)
		for range size {
			clients.Go(func() {
				for ctx.Err() == nil {
					visit(ctx, machine.front, misbehave)
					time.Sleep(crowdPause)
				}
			})
		}
	}
	bed.awaitEnds()
	cancel()
	clients.Wait()
}

// visit opens one connection, misbehaves on it and waits until it is closed, or the context ends.
func visit(ctx context.Context, address string, misbehave func(connection net.Conn)) {
	connection, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	misbehave(connection)
	_, _ = connection.Read(make([]byte, 1))
}

// playHeads has crowds that send the head of a request of very many short fields, of a legal size, and stop half-way.
func playHeads(bed *bed) int {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %sx HTTP/1.1\r\nHost: %s\r\n", pathLookup, host)
	for number := 0; head.Len() < headBytes-10; number++ {
		fmt.Fprintf(&head, "%x:\r\n", number)
	}
	content := []byte(head.String())
	bed.record.add("each client of the crowd sends %d bytes of a head and stays", len(content))
	bed.crowd(headCrowd, func(connection net.Conn) { _, _ = connection.Write(content) })
	return bed.judge()
}
