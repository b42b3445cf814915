package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer"
)

// The expected size of one data centre in two years.
const (
	upstreamsPerDataCentre = 120
	daemonsPerDataCentre   = 72
	// updateInterval is the interval at which a daemon updates its record.
	updateInterval = 500 * time.Millisecond
	// warmUp is the time before the measurement, for each data centre.
	warmUp = 4 * time.Second
	// writeOverhead is the least size of the TCP and IP headers of one write, in bytes.
	writeOverhead = 52
)

// traffic counts the bytes and the writes on the connections of one run.
type traffic struct {
	bytes, writes atomic.Int64
}

// countedConn counts the bytes and the writes of a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (conn *countedConn) Write(content []byte) (int, error) {
	n, err := conn.Conn.Write(content)
	conn.traffic.bytes.Add(int64(n))
	conn.traffic.writes.Add(1)
	return n, err
}

// countedListener accepts connections whose writes are counted.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (listener *countedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: listener.traffic}, nil
}

// countTraffic makes the client dial connections whose writes are counted.
func countTraffic(client *http.Client, traffic *traffic) *http.Client {
	transport := client.Transport.(*http.Transport)
	dialer := &net.Dialer{Timeout: time.Second}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: traffic}, nil
	}
	return client
}

// usage holds the resources that one daemon used, as the mean of all daemons of a run.
type usage struct {
	// bytes and writes are those that one daemon sent per second.
	bytes, writes float64
	// memory is the size of the heap and the stacks of one daemon in bytes.
	memory float64
	// processor is the processor time of one daemon per second.
	processor time.Duration
}

func measurePeers(args []string, to io.Writer) error {
	flags := flag.NewFlagSet("peers", flag.ContinueOnError)
	sizes := flags.String("daemons", "4,8,16,32,64", "numbers of daemons")
	centres := flags.Int("datacentres", 1, "number of data centres")
	fanout := flags.Int("fanout", 0, "peers in each interval by digests; zero is the default")
	names := flags.String("ways", "mesh,digests,none", "ways to run")
	length := flags.Duration("for", 10*time.Second, "length of each run")
	if err := flags.Parse(args); err != nil {
		return err
	}
	fmt.Fprint(to, "| way | data centres | daemons in each | upstreams in each | KB/s sent | with headers | writes/s | processor ms/s | MB |\n")
	fmt.Fprint(to, "|---|---|---|---|---|---|---|---|---|\n")
	for _, name := range strings.Split(*names, ",") {
		run, ok := methods[name]
		if !ok {
			return fmt.Errorf("unknown way %q", name)
		}
		for _, field := range strings.Split(*sizes, ",") {
			daemons, err := strconv.Atoi(field)
			if err != nil {
				return err
			}
			upstreams := max(daemons*upstreamsPerDataCentre/daemonsPerDataCentre, 1)
			used, err := run(scale{*centres, daemons, upstreams, *fanout}, *length)
			if err != nil {
				return err
			}
			withHeaders := used.bytes + writeOverhead*used.writes
			fmt.Fprintf(to, "| %s | %d | %d | %d | %.2f | %.2f | %.0f | %.2f | %.1f |\n", name, *centres, daemons, upstreams,
				used.bytes/1000, withHeaders/1000, used.writes, float64(used.processor.Microseconds())/1000, used.memory/1e6)
		}
	}
	return nil
}

// scale is the size of one run.
type scale struct {
	// centres is the number of data centres; daemons and upstreams are in each.
	centres, daemons, upstreams int
	// fanout is the number of peers in each interval of digests; zero is the default.
	fanout int
}

// methods maps the names of the methods of distributing upstream states to their measurements.
var methods = map[string]func(scale, time.Duration) (usage, error){
	"mesh":    runPeers(peer.FullMesh),
	"digests": runPeers(peer.Gossip),
	"none":    pollAll,
}

// runPeers returns a measurement of nodes that exchange states by the given method over loopback connections.
func runPeers(way peer.Mode) func(scale, time.Duration) (usage, error) {
	return func(scale scale, length time.Duration) (usage, error) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		traffic := &traffic{}
		var members []peer.Member
		var listeners []net.Listener
		for number := range scale.centres * scale.daemons {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return usage{}, err
			}
			listeners = append(listeners, &countedListener{listener, traffic})
			name := fmt.Sprintf("entry-%03d", number)
			members = append(members, peer.Member{Name: name, Address: listener.Addr().String(), DataCentre: fmt.Sprint("dc-", number/scale.daemons)})
		}
		for number, member := range members {
			node := peer.NewNode(peer.Settings{
				Name: member.Name, DataCentre: member.DataCentre, PeerAddress: member.Address, Incarnation: 1, Mode: way, Fanout: scale.fanout,
				Client:  countTraffic(peer.NewClient(nil), traffic),
				Members: peer.MembersFunc(func() []peer.Member { return members }),
			}, clock.RealClock{}, rand.New(rand.NewPCG(1, uint64(number))))
			server := serve(node.Handler(), listeners[number])
			defer server.Close()
			go func() { _ = node.Run(ctx) }()
			go updateRecord(ctx, node, ownUpstreams(number, scale))
		}
		time.Sleep(time.Duration(scale.centres-1) * warmUp)
		return measureUsage(traffic, len(members), length), nil
	}
}

// serve serves HTTP/1.1 and unencrypted HTTP/2 in the background.
func serve(handler http.Handler, listener net.Listener) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return server
}

// measureUsage waits for the warm-up and measures the usage per daemon over the length.
func measureUsage(traffic *traffic, daemons int, length time.Duration) usage {
	time.Sleep(warmUp)
	bytes, writes, processor, begin := traffic.bytes.Load(), traffic.writes.Load(), processorTime(), time.Now()
	time.Sleep(length)
	share := time.Since(begin).Seconds() * float64(daemons)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{
		memory:    float64(memory.HeapInuse+memory.StackInuse) / float64(daemons),
		bytes:     float64(traffic.bytes.Load()-bytes) / share,
		writes:    float64(traffic.writes.Load()-writes) / share,
		processor: time.Duration(float64(processorTime()-processor) / share),
	}
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
