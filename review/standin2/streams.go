package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pathResume is the prefix of a streaming route that may be resumed.
	pathResume = "/resume/"
	// breakTime is how long one replica breaks off streams, one in breakEvery, each in the middle of an event after some of its events.
	breakTime  = 5500 * time.Millisecond
	breakEvery = 45
	// streamClients is the number of clients of streams at each machine, and streamPause the pause after each stream.
	streamClients = 12
	streamPause   = 50 * time.Millisecond
)

// streamKind is how sound replicas write streams.
type streamKind struct {
	// first is the number of the first event.
	first int
	// heartbeats states that a comment follows each event.
	heartbeats bool
	// breakAfter is the number of events after which a broken stream ends.
	breakAfter int
}

// playHeartbeats has replicas whose streams hold comments between the events.
func playHeartbeats(bed *bed) int {
	return bed.playStreams(streamKind{first: 1, heartbeats: true, breakAfter: streamEvents / 2})
}

// playZero has replicas whose events are numbered from zero.
func playZero(bed *bed) int {
	return bed.playStreams(streamKind{first: 0, breakAfter: 1})
}

// playStreams has clients begin streams that may be resumed, while one of three replicas breaks off some.
func (bed *bed) playStreams(kind streamKind) int {
	for number, replica := range bed.replicas {
		if replica.engine {
			breaks := 0
			if bed.trouble && number == 0 {
				breaks = breakEvery
				bed.record.add("replica %s breaks off one in %d streams", replica.id, breaks)
			}
			replica.writeStreams(kind, breaks)
		}
	}
	var sent, whole, wrong atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(breakTime)
	for _, client := range bed.clients {
		for range streamClients {
			clients.Go(func() {
				for time.Now().Before(until) {
					id := fmt.Sprintf("stream-%d", sent.Add(1))
					numbers, complete, err := client.stream(id)
					bed.record.add("stream %s at %s: events %v, complete %v %s", id, client.machine.name, numbers, complete, errorText(err))
					if complete {
						whole.Add(1)
					}
					if fault := orderOf(numbers, kind.first, complete); fault != "" {
						wrong.Add(1)
						bed.record.add("stream %s: %s", id, fault)
					}
					time.Sleep(streamPause)
				}
			})
		}
	}
	clients.Wait()
	bed.record.add("%d streams were sent, %d came to their end, %d had a piece that was missing or came twice", sent.Load(), whole.Load(), wrong.Load())
	switch {
	case whole.Load() == 0:
		return notRun
	case wrong.Load() > 0:
		return broken
	}
	return held
}

// orderOf returns what is wrong with the events of a stream; empty if nothing is.
func orderOf(numbers []string, first int, complete bool) string {
	for index, number := range numbers {
		if want := fmt.Sprint(first + index); number != want {
			return fmt.Sprintf("event %s came where %s was due", number, want)
		}
	}
	if complete && len(numbers) > 0 && len(numbers) < streamEvents {
		return fmt.Sprintf("it ended as complete after %d events of %d", len(numbers), streamEvents)
	}
	return ""
}

// writeStreams sets how the replica writes streams, and breaks off each one in so many; zero breaks off none.
func (replica *replica) writeStreams(kind streamKind, breakEvery int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.kind, replica.breakEvery = kind, breakEvery
}

// nextStream returns how the next stream is written, and whether it is broken off.
func (replica *replica) nextStream() (streamKind, bool) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.streams++
	return replica.kind, replica.breakEvery > 0 && replica.streams%replica.breakEvery == 0
}

// stream writes the events that follow Last-Event-Id.
func (replica *replica) stream(writer http.ResponseWriter, request *http.Request, id string) {
	kind, breaks := replica.nextStream()
	next, last := kind.first, kind.first-1+streamEvents
	if text := request.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &next)
		replica.record.add("replica %s goes on with %s after event %s", replica.id, id, text)
		next++
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	for number := next; number <= last; number++ {
		time.Sleep(eventGap)
		if breaks && number == next+kind.breakAfter {
			replica.record.add("replica %s breaks off %s in event %d", replica.id, id, number)
			_, _ = fmt.Fprintf(writer, "id: %d\nda", number)
			_ = controller.Flush()
			abort()
		}
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", number, id)
		if kind.heartbeats {
			text += ": heartbeat\n\n"
		}
		if _, err := io.WriteString(writer, text); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

// stream begins a stream and returns the numbers of its events, and whether it came to its end.
func (client *client) stream(id string) (numbers []string, complete bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.machine.front+pathResume+"x", strings.NewReader("order"))
	if err != nil {
		return nil, false, err
	}
	request.Host = host
	for name, value := range map[string]string{
		"Bronzestall-Request-Id": id, "Bronzestall-Deadline-Ms": "5000", "Bronzestall-Model": "m0", "Bronzestall-Token-Usage": "60,20",
		"Bronzestall-Prompt-Prefix": "5c1e07a2:40,91bd3f06:20",
	} {
		request.Header.Set(name, value)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if number, found := strings.CutPrefix(lines.Text(), "id: "); found {
			numbers = append(numbers, number)
		}
	}
	return numbers, lines.Err() == nil, lines.Err()
}
