package connection

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/utils/clock"
)

// endlessServer answers each connection with begin and then repeats rest until the client closes.
func endlessServer(t *testing.T, begin, rest string) string {
	return listen(t, func(c net.Conn) { writeEndlessly(c, begin, rest) })
}

func writeEndlessly(c net.Conn, begin, rest string) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	// A string would be copied at each write, which would count as memory of the client.
	text, repeated := []byte(begin), []byte(rest)
	for {
		if _, err := c.Write(text); err != nil {
			return
		}
		text = repeated
	}
}

// The load of TestEndlessBytes: the number of responses at the same time, and the bytes of live heap that they may
// use.
const (
	endlessStreams = 64
	endlessMemory  = 16 << 20
)

// TestEndlessBytes guards against unbounded memory and time for faulty replicas that send bytes which never make up a
// response.
func TestEndlessBytes(t *testing.T) {
	filler := strings.Repeat("x", 4096)
	for name, test := range map[string]struct {
		begin, rest string
		limit       string
		// headBytes is the limit on heads; zero means the default.
		headBytes int64
	}{
		"status line":               {"HTTP/1.1 200 ", filler, "HeadBytes", 0},
		"header line":               {"HTTP/1.1 200 OK\r\nA: ", filler, "HeadBytes", 0},
		"headers":                   {"HTTP/1.1 200 OK\r\n", "A: " + filler[:100] + "\r\n", "HeadBytes", 0},
		"head byte by byte":         {"HTTP/1.1 200 OK\r\nA: ", "x", "HeadBytes", 256},
		"interim answers":           {"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "", 0},
		"body of another answer":    {"HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", filler, "StrayBytes", 0},
		"chunk size":                {"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1", "", 0},
		"chunk extension":           {"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler, "", 0},
		"trailer of another answer": {"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", filler, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := New(Settings{HeadBytes: test.headBytes, DialTimeout: time.Minute}, clock.RealClock{})
			address := endlessServer(t, test.begin, test.rest)
			before := liveHeap()
			peak := watchHeap(t)
			var group sync.WaitGroup
			for range endlessStreams {
				group.Go(func() {
					_, err := get(pool, address, "1")
					var over *LimitError
					if err == nil || (test.limit != "" && (!errors.As(err, &over) || over.Limit != test.limit)) {
						t.Errorf("got %v, want the limit %q", err, test.limit)
					}
				})
			}
			group.Wait()
			if used := peak() - before; used > endlessMemory {
				t.Errorf("%d endless responses used %d bytes of memory", endlessStreams, used)
			}
		})
	}
}

// liveHeap returns the bytes of live objects.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// heapInterval is the interval at which watchHeap samples the heap.
const heapInterval = 20 * time.Millisecond

// watchHeap samples the live heap until the returned function is called, which returns the peak.
func watchHeap(t *testing.T) func() int64 {
	ctx, cancel := context.WithCancel(t.Context())
	highest := make(chan int64, 1)
	go func() {
		peak := liveHeap()
		for ctx.Err() == nil {
			peak = max(peak, liveHeap())
			time.Sleep(heapInterval)
		}
		highest <- peak
	}()
	return func() int64 {
		cancel()
		return <-highest
	}
}

// TestLargeHeadWithinTheLimit guards against a limit that rejects valid responses.
func TestLargeHeadWithinTheLimit(t *testing.T) {
	large := strings.Repeat("x", defaultHeadBytes-1024)
	address := scriptedServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\nA: "+large+"\r\nContent-Length: 3\r\n\r\none")
	if got, err := get(New(Settings{}, clock.RealClock{}), address, "1"); err != nil || got != "one" {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestLongBodyPasses guards against the limits on heads and mismatched responses being applied to the body of a long
// response.
func TestLongBodyPasses(t *testing.T) {
	body := strings.Repeat("x", 3*maxMismatchedBytes)
	address := scriptedServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3145728\r\n\r\n"+body)
	if got, err := get(New(Settings{}, clock.RealClock{}), address, "1"); err != nil || got != body {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}
