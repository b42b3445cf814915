package connection

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/utils/clock"
)

// endless answers each request with the beginning and then repeats the rest until the caller closes.
func endless(t *testing.T, begin, rest string) string {
	return listen(t, func(c net.Conn) { pour(c, begin, rest) })
}

func pour(c net.Conn, begin, rest string) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	text := begin
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		text = rest
	}
}

// The load of the test of endless bytes: replicas in trouble at once, and the memory that they may cost.
const (
	endlessStreams = 64
	endlessMemory  = 16 << 20
)

// TestEndlessBytes covers replicas in trouble that send bytes which are no answer until the caller closes.
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
			address := endless(t, test.begin, test.rest)
			before := heap()
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
				t.Errorf("%d endless answers cost %d bytes of memory", endlessStreams, used)
			}
		})
	}
}

// heap returns the bytes of live objects.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// heapStep is the pause between two looks at the heap.
const heapStep = 20 * time.Millisecond

// watchHeap looks at the live heap until the function that it returns is called, which returns the peak.
func watchHeap(t *testing.T) func() int64 {
	ctx, cancel := context.WithCancel(t.Context())
	highest := make(chan int64, 1)
	go func() {
		peak := heap()
		for ctx.Err() == nil {
			peak = max(peak, heap())
			time.Sleep(heapStep)
		}
		highest <- peak
	}()
	return func() int64 {
		cancel()
		return <-highest
	}
}

// TestLargeHeadWithinTheLimit keeps the limit from cutting sound answers.
func TestLargeHeadWithinTheLimit(t *testing.T) {
	large := strings.Repeat("x", defaultHeadBytes-1024)
	address := script(t, "HTTP/1.1 200 OK\r\nId: 1\r\nA: "+large+"\r\nContent-Length: 3\r\n\r\none")
	if got, err := get(New(Settings{}, clock.RealClock{}), address, "1"); err != nil || got != "one" {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestLongBodyOfItsOwnPasses keeps the limits on heads and foreign answers from cutting a long answer.
func TestLongBodyOfItsOwnPasses(t *testing.T) {
	body := strings.Repeat("x", 3*strayBytes)
	address := script(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3145728\r\n\r\n"+body)
	if got, err := get(New(Settings{}, clock.RealClock{}), address, "1"); err != nil || got != body {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}
