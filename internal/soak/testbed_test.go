package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/daemon"
	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/standin/engine"
	standinplatform "github.com/bronzestall/bronzestall/internal/standin/platform"
	standinservice "github.com/bronzestall/bronzestall/internal/standin/service"
	"github.com/bronzestall/bronzestall/internal/standin/weights"
	"github.com/bronzestall/bronzestall/settings"
)

const (
	platformHost    = "platform"
	platformAddress = "10.0.0.1:9000"
	tenantKey       = "key"
	loadsPerSecond  = 2.6
	loadsAtOnce     = 4
	classDeadline   = 20 * time.Second
	drainNotice     = 2 * time.Second
	drainLimit      = 30 * time.Second
)

var dataCentres = []string{"north", "south", "west"}

// testbed is a deployment of stand-ins and daemons in one synctest bubble.
type testbed struct {
	t        *testing.T
	network  *network
	clock    clock.RealClock
	platform *standinplatform.Server
	weights  *weights.Server
	engines  map[string]*engine.Server
	// engineHosts holds the HTTP server of each engine.
	engineHosts map[string]*http.Server
	services    map[string]*standinservice.Server
	servers     sync.WaitGroup
	// httpServers are closed at the end.
	httpServers []*http.Server

	lock    sync.Mutex
	entries []*entry
	// vms holds the VMs of the upstreams, and members their entries in the settings of the daemons, in the same order.
	vms     []datastore.VM
	members []settings.Upstream
	// retired holds the engines whose VMs were reclaimed.
	retired []*engine.Server
	// incarnations counts the VMs that were created by reclaim.
	incarnations int
	// exemptedCrashes holds the crash requests that were sent while daemons were cut off, by data centre and body.
	exemptedCrashes map[[2]string]bool
	// platformHealthySince is the time since which the platform has had no fault; zero while it has one.
	platformHealthySince time.Time
}

// newTestbed starts the stand-ins, with enginesEach engines in each data centre, and the daemons.
func newTestbed(t *testing.T, enginesEach int) *testbed {
	testbed := &testbed{
		t:               t,
		network:         newNetwork(),
		engines:         map[string]*engine.Server{},
		engineHosts:     map[string]*http.Server{},
		exemptedCrashes: map[[2]string]bool{},
		services:        map[string]*standinservice.Server{},
	}
	testbed.platform = standinplatform.New(testbed.clock)
	testbed.platformHealthySince = time.Now()
	testbed.weights = weights.New(weights.Settings{LoadsPerSecond: loadsPerSecond, LoadsAtOnce: loadsAtOnce}, testbed.clock)
	testbed.serve(platformHost, platformAddress, testbed.platform)
	for index, dataCentre := range dataCentres {
		for number := range enginesEach {
			testbed.addEngine(dataCentre, fmt.Sprintf("10.1.%d.%d:9100", index, number), number)
		}
	}
	testbed.addService("desk-1", "10.2.0.1:9200", "north")
	testbed.addService("desk-2", "10.2.0.2:9200", "south")
	for number, dataCentre := range []string{"north", "north", "south", "west"} {
		testbed.entries = append(testbed.entries, &entry{
			name:       fmt.Sprintf("entry-%d", number+1),
			dataCentre: dataCentre,
			address:    fmt.Sprintf("10.3.0.%d", number+1),
			killed:     map[int32]bool{},
		})
	}
	for _, entry := range testbed.entries {
		testbed.start(entry)
	}
	return testbed
}

// serve starts an HTTP server for a stand-in at an address.
func (testbed *testbed) serve(host, address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	listener := testbed.network.listen(host, address)
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	testbed.httpServers = append(testbed.httpServers, server)
	testbed.servers.Go(func() { _ = server.Serve(listener) })
	return server
}

// addEngine adds an engine; every second one ignores fencing numbers.
func (testbed *testbed) addEngine(dataCentre, address string, number int) {
	name := fmt.Sprintf("engine-%s-%d", dataCentre, number)
	checksFencing := number%2 == 0
	instance := testbed.newEngine(name, checksFencing)
	testbed.engines[name] = instance
	testbed.engineHosts[name] = testbed.serve(name, address, instance)
	testbed.addMember(datastore.VM{Name: name, Incarnation: "1", DataCentre: dataCentre, Role: datastore.Engine, Address: address}, checksFencing)
}

func (testbed *testbed) newEngine(name string, checksFencing bool) *engine.Server {
	return engine.New(engine.Settings{
		Name:          name,
		Release:       "1",
		ChecksFencing: checksFencing,
		Capacity:      40 << 30,
		Fetch:         testbed.weights.Fetch,
	}, testbed.clock)
}

func (testbed *testbed) addService(name, address, dataCentre string) {
	instance := standinservice.New(name, testbed.clock)
	testbed.services[name] = instance
	testbed.serve(name, address, instance)
	testbed.addMember(datastore.VM{Name: name, Incarnation: "1", DataCentre: dataCentre, Role: datastore.Service, Address: address}, false)
}

// addMember adds a VM to the VM list and to the upstreams in the settings of the daemons.
func (testbed *testbed) addMember(vm datastore.VM, checksFencing bool) {
	testbed.vms = append(testbed.vms, vm)
	testbed.members = append(testbed.members, settings.Upstream{
		Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre,
		Kind: settings.UpstreamKind(vm.Role), ChecksFencing: checksFencing, ChecksBoot: checksFencing,
	})
}

// publishVMs makes the platform return the current VM list. The lock is held.
func (testbed *testbed) publishVMs() {
	list := append([]datastore.VM(nil), testbed.vms...)
	for _, entry := range testbed.entries {
		list = append(list, datastore.VM{
			Name: entry.name, Incarnation: fmt.Sprint(entry.generation.Load()), DataCentre: entry.dataCentre,
			Role: datastore.Entry, Address: entry.peerAddress(),
		})
	}
	testbed.platform.SetVMs(list)
}

// start starts a daemon on a new VM of the entry's name.
func (testbed *testbed) start(entry *entry) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	entry.generation.Add(1)
	host := hostOf(entry)
	testbed.publishVMs()
	transport := &http.Transport{DialContext: testbed.network.dialler(host), IdleConnTimeout: time.Minute}
	instance, err := daemon.New(testbed.settings(entry).WithDefaults(), daemon.Deps{
		Clock:      testbed.clock,
		Dial:       testbed.network.dialler(host),
		Listen:     func(_, address string) (net.Listener, error) { return testbed.network.listen(host, address), nil },
		PeerClient: &http.Client{Transport: transport},
		Seed:       uint64(entry.generation.Load()),
	})
	if err != nil {
		testbed.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	entry.stop = stop
	entry.ended = make(chan struct{})
	entry.inService = true
	go func(ended chan struct{}) {
		defer close(ended)
		instance.Serve(ctx)
	}(entry.ended)
}

// settings returns the settings of the daemon of an entry.
func (testbed *testbed) settings(entry *entry) settings.Settings {
	sum := sha256.Sum256([]byte(tenantKey))
	created := settings.Settings{
		Name:            entry.name,
		DataCentre:      entry.dataCentre,
		CallerAddress:   entry.callerAddress(),
		OperatorAddress: entry.operatorAddress(),
		PeerAddress:     entry.peerAddress(),
		Upstreams:       testbed.members,
		Platform:        settings.Platform{Address: platformAddress},
		WeightStore:     settings.WeightStore{LoadsPerSecond: loadsPerSecond, LoadsAtOnce: loadsAtOnce},
		Tenants:         []settings.Tenant{{Name: "tenant", KeySHA256: hex.EncodeToString(sum[:])}},
		Classes:         []settings.Class{{Name: "chat", Deadline: classDeadline, Total: time.Minute}},
		KeepWarm:        settings.KeepWarm{ColdStartWeight: 1, IdleHourWeight: 1},
		Drain:           settings.Drain{Notice: drainNotice, Limit: drainLimit},
	}
	for _, name := range dataCentres {
		created.DataCentres = append(created.DataCentres, settings.DataCentre{Name: name, Region: "region"})
	}
	for _, other := range testbed.entries {
		if other != entry {
			created.Peers = append(created.Peers, settings.Peer{Name: other.name, Address: other.peerAddress()})
		}
	}
	return created
}

// hostOf returns the host name of the current VM of an entry.
func hostOf(entry *entry) string {
	return fmt.Sprintf("%s#%d", entry.name, entry.generation.Load())
}

// inService returns a random entry that is in service, as the load balancer would choose it, or nil.
func (testbed *testbed) inService(random *rand.Rand) *entry {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	var ready []*entry
	for _, entry := range testbed.entries {
		if entry.inService {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[random.IntN(len(ready))]
}

// close shuts down every daemon gracefully, and then closes every stand-in.
func (testbed *testbed) close() {
	for _, entry := range testbed.entries {
		entry.stop()
		<-entry.ended
	}
	for _, instance := range testbed.allEngines() {
		instance.Close()
	}
	for _, server := range testbed.httpServers {
		_ = server.Close()
	}
	testbed.servers.Wait()
	// Goroutines that still wait for a timeout end while the simulated clock advances.
	time.Sleep(time.Minute)
}
