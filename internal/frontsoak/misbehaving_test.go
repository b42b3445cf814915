package frontsoak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdMemory is the memory limit of a daemon that a crowd meets, in MiB, that of the smallest VM, and crowdDescriptors its limit of
	// open descriptors.
	crowdMemory      = 144
	crowdDescriptors = 250
	// crowdBody is the largest body that the configuration allows, in bytes.
	crowdBody = 4 << 20
	// crowdHead is the size of a head of very many short fields, in bytes, just below what the configuration of the page allows.
	crowdHead = 16_000
	// crowdTime is how long the connections of a crowd stay open.
	crowdTime = 5 * time.Second
	// bodyCrowd, headCrowd and connectionCrowd are the numbers of connections of crowds that send bodies, heads, and next to nothing.
	bodyCrowd       = 50
	headCrowd       = 120
	connectionCrowd = 500
	// sampleInterval is the time between two counts of open descriptors.
	sampleInterval = 50 * time.Millisecond
)

// largePrefix begins the identifiers of requests to which plain services respond with largeBody.
const largePrefix = "large-"

// largeBody is the content of large responses.
var largeBody = strings.Repeat("y", 4<<20)

// The paths at which crowds come; the daemon has no route for pathNowhere.
const (
	pathNowhere = "/nowhere/"
	pathReady   = "/ready"
)

// misbehaviour is what the clients of a crowd do on their connections until the context ends.
type misbehaviour func(ctx context.Context, connection net.Conn, path string)

// crowd is a number of clients that misbehave in one way at one path.
type crowd struct {
	name string
	size int
	path string
	// atReady sends the crowd to the address of the readiness check instead of that of clients.
	atReady   bool
	misbehave misbehaviour
}

// TestMisbehavingClientsTakeNoDaemon guards against part 6 of docs/HARD-LOAD.md: clients outside the operators' control made daemons hold
// more bytes and descriptors than their VMs have.
func TestMisbehavingClientsTakeNoDaemon(t *testing.T) {
	crowds := []crowd{
		{"bodies in one piece", bodyCrowd, pathCall, false, stopShort(crowdBody)},
		{"bodies in small pieces", bodyCrowd, pathCall, false, stopShort(4 << 10)},
		{"bodies in chunks", bodyCrowd, pathCall, false, stopShortInChunks},
		{"bodies in one piece without a route", bodyCrowd, pathNowhere, false, stopShort(crowdBody)},
		{"bodies in chunks without a route", bodyCrowd, pathNowhere, false, stopShortInChunks},
		{"bodies at the readiness path of clients", bodyCrowd, pathReady, false, stopShort(crowdBody)},
		{"bodies at the readiness address", bodyCrowd, pathReady, true, stopShort(crowdBody)},
		{"chunks at the readiness address", bodyCrowd, pathReady, true, stopShortInChunks},
		{"bodies far over the limit", bodyCrowd, pathCall, false, sendEndless},
		{"bodies far over the limit without a route", bodyCrowd, pathNowhere, false, sendEndless},
		{"bodies far over the limit at the readiness address", bodyCrowd, pathReady, true, sendEndless},
		{"short fields", headCrowd, pathCall, false, sendManyFields},
		{"short fields without a route", headCrowd, pathNowhere, false, sendManyFields},
		{"short fields at the readiness address", headCrowd, pathReady, true, sendManyFields},
		{"pipelined requests", headCrowd, pathLookup, false, pipeline},
		{"pipelined requests without a route", headCrowd, pathNowhere, false, pipeline},
		{"pipelined requests at the readiness address", headCrowd, pathReady, true, pipeline},
		{"large responses that are not read", bodyCrowd, pathCall, false, readNothing},
		{"slow heads", connectionCrowd, pathCall, false, sendHeadSlowly},
		{"slow heads at the readiness address", connectionCrowd, pathReady, true, sendHeadSlowly},
		{"slow bodies", connectionCrowd, pathCall, false, sendBodySlowly},
		{"idle connections", connectionCrowd, pathCall, false, stayIdle},
		{"idle connections at the readiness address", connectionCrowd, pathReady, true, stayIdle},
	}
	binary := build(t)
	for index, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) { crowd.run(t, binary, 6100+uint64(index)) })
	}
}

// run sends the crowd to a daemon and checks what is left of it.
func (crowd crowd) run(t *testing.T, binary string, seed uint64) {
	testbed := newTestbed(t, 1, binary, seed)
	testbed.bodyBytes = crowdBody
	testbed.configure()
	target := testbed.fronts[0]
	target.limit(t, crowdMemory, crowdDescriptors)
	stop := testbed.serve(2500 * time.Millisecond)
	defer stop()
	client := newClient("ordinary", testbed.checker, seed, testbed.addresses())
	if !client.send(t.Context(), pathLookup, target.client) {
		t.Fatal("the daemon serves no request before the crowd")
	}
	address := target.client
	if crowd.atReady {
		address = target.ready
	}
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var clients sync.WaitGroup
	for range crowd.size {
		clients.Go(func() { crowd.connect(ctx, address) })
	}
	descriptors := target.mostDescriptors(ctx, t)
	clients.Wait()
	peak := target.peakMemory(t)
	t.Logf("peak of %d MB, %d descriptors", peak>>20, descriptors)
	if float64(peak) > maxPeakShare*crowdMemory*(1<<20) {
		t.Errorf("the daemon took %d MB at its peak, at most %.0f wanted", peak>>20, maxPeakShare*crowdMemory)
	}
	if descriptors >= crowdDescriptors {
		t.Errorf("the daemon had %d open descriptors, less than %d wanted", descriptors, crowdDescriptors)
	}
	if !client.send(t.Context(), pathLookup, target.client) {
		t.Errorf("an ordinary request is not served afterwards: %v", testbed.checker.outcomes)
	}
	if !target.isReady() {
		t.Error("the daemon is not ready afterwards")
	}
	if len(target.started) != 1 {
		t.Errorf("the daemon was started %d times", len(target.started))
	}
}

// TestSmallestDaemonServesTheLargestBody checks that the bounds against crowds leave room for a request inside the limits.
func TestSmallestDaemonServesTheLargestBody(t *testing.T) {
	testbed := newTestbed(t, 1, build(t), 6150)
	testbed.bodyBytes = crowdBody
	testbed.configure()
	target := testbed.fronts[0]
	target.limit(t, crowdMemory, crowdDescriptors)
	stop := testbed.serve(2500 * time.Millisecond)
	defer stop()
	client := newClient("large", testbed.checker, 6150, testbed.addresses())
	for range 5 {
		if !client.sendBody(t.Context(), pathLookup, target.client, string(crowdContent)) {
			t.Fatalf("a request with the largest body is not served: %v", testbed.checker.outcomes)
		}
	}
}

// connect opens one connection and misbehaves on it until the context ends.
func (crowd crowd) connect(ctx context.Context, address string) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	// Writes end with the context.
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	crowd.misbehave(ctx, connection, crowd.path)
	<-ctx.Done()
}

// head returns the head of a request with additional lines.
func head(path, lines string) string {
	return "POST " + path + "x HTTP/1.1\r\nHost: h.example\r\n" + lines + "\r\n"
}

// crowdContent is the content of the bodies of all crowds.
var crowdContent = bytes.Repeat([]byte("x"), crowdBody)

// stopShort returns the misbehaviour of a client that sends all but the last byte of the largest body in pieces of the size.
func stopShort(piece int) misbehaviour {
	return func(_ context.Context, connection net.Conn, path string) {
		_, _ = connection.Write([]byte(head(path, fmt.Sprintf("Content-Length: %d\r\n", crowdBody))))
		for rest := crowdContent[:crowdBody-1]; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if _, err := connection.Write(rest[:min(piece, len(rest))]); err != nil {
				return
			}
		}
	}
}

// stopShortInChunks sends a body of the largest size in chunks, without the last one.
func stopShortInChunks(_ context.Context, connection net.Conn, path string) {
	const chunk = 16 << 10
	_, _ = connection.Write([]byte(head(path, "Transfer-Encoding: chunked\r\n")))
	framed := append([]byte(fmt.Sprintf("%x\r\n", chunk)), append(crowdContent[:chunk:chunk], "\r\n"...)...)
	for range crowdBody / chunk {
		if _, err := connection.Write(framed); err != nil {
			return
		}
	}
}

// sendEndless sends a body far over the limit.
func sendEndless(ctx context.Context, connection net.Conn, path string) {
	const bodies = 25
	_, _ = connection.Write([]byte(head(path, fmt.Sprintf("Content-Length: %d\r\n", bodies*crowdBody))))
	for range bodies {
		if _, err := connection.Write(crowdContent); err != nil || ctx.Err() != nil {
			return
		}
	}
}

// sendManyFields sends a head of very many short fields, and a body that lacks its end.
func sendManyFields(_ context.Context, connection net.Conn, path string) {
	var fields strings.Builder
	for number := 0; fields.Len() < crowdHead; number++ {
		fmt.Fprintf(&fields, "%x:\r\n", number)
	}
	_, _ = connection.Write([]byte(head(path, fields.String()+"Content-Length: 10\r\n") + "short"))
}

// pipeline sends requests without reading the responses.
func pipeline(ctx context.Context, connection net.Conn, path string) {
	const most = 20_000
	requests := []byte(strings.Repeat(head(path, "Content-Length: 0\r\n"), 100))
	for sent := 0; sent < most && ctx.Err() == nil; sent += 100 {
		if _, err := connection.Write(requests); err != nil {
			return
		}
	}
}

// readNothing asks for a large response and does not read it.
func readNothing(_ context.Context, connection net.Conn, path string) {
	_, _ = connection.Write([]byte(head(path, "Bronzestall-Request-Id: "+largePrefix+"x\r\nContent-Length: 0\r\n")))
}

// sendHeadSlowly sends a head byte by byte.
func sendHeadSlowly(ctx context.Context, connection net.Conn, path string) {
	sendSlowly(ctx, connection, head(path, "Content-Length: 0\r\n"))
}

// sendBodySlowly sends a body byte by byte.
func sendBodySlowly(ctx context.Context, connection net.Conn, path string) {
	_, _ = connection.Write([]byte(head(path, "Content-Length: 1000\r\n")))
	sendSlowly(ctx, connection, strings.Repeat("x", 1000))
}

// sendSlowly sends the text byte by byte.
func sendSlowly(ctx context.Context, connection net.Conn, text string) {
	for index := range text {
		if _, err := connection.Write([]byte(text[index : index+1])); err != nil || ctx.Err() != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// stayIdle sends one request that is refused and nothing more.
func stayIdle(_ context.Context, connection net.Conn, _ string) {
	_, _ = connection.Write([]byte(head(pathNowhere, "Content-Length: 0\r\n")))
}

// limit sets the memory, in MiB, and the descriptors that the daemon may take from its next start.
func (process *process) limit(t *testing.T, memory, descriptors int) {
	content, err := os.ReadFile(process.settings)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(content), "MemoryLimit: 256MiB", fmt.Sprintf("MemoryLimit: %dMiB\nDescriptorLimit: %d", memory, descriptors), 1)
	if err := os.WriteFile(process.settings, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
}

// mostDescriptors returns the largest number of open descriptors of the daemon until the context ends.
func (process *process) mostDescriptors(ctx context.Context, t *testing.T) int {
	process.mutex.Lock()
	folder := fmt.Sprintf("/proc/%d/fd", process.command.Process.Pid)
	process.mutex.Unlock()
	most := 0
	for ctx.Err() == nil {
		entries, err := os.ReadDir(folder)
		if err != nil {
			t.Errorf("the daemon ended: %v", err)
			return most
		}
		most = max(most, len(entries))
		time.Sleep(sampleInterval)
	}
	return most
}
