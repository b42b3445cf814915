package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// headCrowd is the number of clients of the crowd: below a third of the descriptors of the machine.
	headCrowd = 1380
	// headBytes is the size of a head that stops before its end, in bytes: inside maxHeaderBytes.
	headBytes = 16300
	// headTime is how long a client of the crowd keeps its connection.
	headTime = 12 * time.Second
)

// heads plays a crowd whose clients send a head of many short fields, inside the limit of the configuration, and stop before its end. The
// daemon must stay within the memory of its machine.
func heads(bed *bed, trouble bool) (bool, error) {
	if err := bed.usual(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	target := bed.fronts[0]
	if !bed.serves(target, "before-1") {
		return false, fmt.Errorf("no request is served before the crowd")
	}
	bed.record.add("%s has %.0f MiB", target.name, target.memory("VmRSS"))
	crowd := 0
	if trouble {
		crowd = headCrowd
	}
	var clients sync.WaitGroup
	var mutex sync.Mutex
	opened, closed := 0, 0
	head := unfinishedHead()
	for range crowd {
		clients.Go(func() {
			conn, err := dial(target.client)
			if err != nil {
				return
			}
			defer conn.Close()
			mutex.Lock()
			opened++
			mutex.Unlock()
			if sendAndStop(conn, head) {
				mutex.Lock()
				closed++
				mutex.Unlock()
			}
		})
	}
	most := 0.0
	for began := time.Now(); time.Since(began) < headTime && !target.ended(); time.Sleep(50 * time.Millisecond) {
		most = max(most, target.memory("VmRSS"))
	}
	mutex.Lock()
	bed.record.add("%d connections, each with a head of %d bytes in %d fields without its end; %d were closed by the daemon", opened, len(head), strings.Count(head, "\n"), closed)
	mutex.Unlock()
	bed.record.add("%s took %.0f MiB; its machine has %d MiB", target.name, most, memoryMb)
	if target.ended() {
		bed.record.add("%s ended: %v", target.name, target.err)
		return true, nil
	}
	return most > memoryMb, nil
}

// unfinishedHead returns a head of very many short fields, each of them proper, that lacks its last line.
func unfinishedHead() string {
	var head strings.Builder
	head.WriteString("POST /charge/x HTTP/1.1\r\nHost: " + host + "\r\n")
	for number := 0; head.Len() < headBytes; number++ {
		head.WriteString(strconv.FormatInt(int64(number), 36) + ":\r\n")
	}
	return head.String()
}

// sendAndStop sends the text and keeps the connection open for headTime. It reports whether the other end closed it.
func sendAndStop(conn net.Conn, text string) bool {
	_ = conn.SetDeadline(time.Now().Add(headTime))
	if _, err := conn.Write([]byte(text)); err != nil {
		return true
	}
	var one [1]byte
	_, err := conn.Read(one[:])
	timeout, ok := err.(net.Error)
	return err == nil || !ok || !timeout.Timeout()
}
