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

// world is a deployment of stand-ins and daemons in one bubble.
type world struct {
	t        *testing.T
	wires    *wires
	clock    clock.RealClock
	platform *standinplatform.Server
	weights  *weights.Server
	engines  map[string]*engine.Server
	// engineHosts holds the HTTP servers of the engines.
	engineHosts map[string]*http.Server
	services    map[string]*standinservice.Server
	servers     sync.WaitGroup
	closers     []*http.Server

	lock    sync.Mutex
	entries []*entry
	vms     []datastore.VM
	members []settings.Upstream
	// retired holds the engines whose VMs were reclaimed.
	retired []*engine.Server
	// incarnations counts the VMs that were made.
	incarnations int
	// excused holds by data centre and body the crash requests that were sent while daemons were cut off.
	excused map[[2]string]bool
	// platformHealthy is the time from which the platform has had no fault; zero while it has one.
	platformHealthy time.Time
}

func newWorld(t *testing.T, enginesEach int) *world {
	world := &world{
		t:           t,
		wires:       newWires(),
		engines:     map[string]*engine.Server{},
		engineHosts: map[string]*http.Server{},
		excused:     map[[2]string]bool{},
		services:    map[string]*standinservice.Server{},
	}
	world.platform = standinplatform.New(world.clock)
	world.platformHealthy = time.Now()
	world.weights = weights.New(weights.Settings{LoadsPerSecond: loadsPerSecond, LoadsAtOnce: loadsAtOnce}, world.clock)
	world.serve(platformHost, platformAddress, world.platform)
	for place, dataCentre := range dataCentres {
		for number := range enginesEach {
			world.addEngine(dataCentre, fmt.Sprintf("10.1.%d.%d:9100", place, number), number)
		}
	}
	world.addService("desk-1", "10.2.0.1:9200", "north")
	world.addService("desk-2", "10.2.0.2:9200", "south")
	for number, dataCentre := range []string{"north", "north", "south", "west"} {
		world.entries = append(world.entries, &entry{
			name:       fmt.Sprintf("entry-%d", number+1),
			dataCentre: dataCentre,
			address:    fmt.Sprintf("10.3.0.%d", number+1),
			killed:     map[int32]bool{},
		})
	}
	for _, entry := range world.entries {
		world.start(entry)
	}
	return world
}

// serve runs a stand-in at an address.
func (world *world) serve(host, address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	listener := world.wires.listen(host, address)
	world.lock.Lock()
	defer world.lock.Unlock()
	world.closers = append(world.closers, server)
	world.servers.Go(func() { _ = server.Serve(listener) })
	return server
}

// addEngine adds an engine; every second one ignores fencing numbers.
func (world *world) addEngine(dataCentre, address string, number int) {
	name := fmt.Sprintf("engine-%s-%d", dataCentre, number)
	checksFencing := number%2 == 0
	made := world.newEngine(name, checksFencing)
	world.engines[name] = made
	world.engineHosts[name] = world.serve(name, address, made)
	world.member(datastore.VM{Name: name, Incarnation: "1", DataCentre: dataCentre, Role: datastore.Engine, Address: address}, checksFencing)
}

func (world *world) newEngine(name string, checksFencing bool) *engine.Server {
	return engine.New(engine.Settings{
		Name:          name,
		ChecksFencing: checksFencing,
		Capacity:      40 << 30,
		Fetch:         world.weights.Fetch,
	}, world.clock)
}

func (world *world) addService(name, address, dataCentre string) {
	made := standinservice.New(name, world.clock)
	world.services[name] = made
	world.serve(name, address, made)
	world.member(datastore.VM{Name: name, Incarnation: "1", DataCentre: dataCentre, Role: datastore.Service, Address: address}, false)
}

func (world *world) member(vm datastore.VM, checksFencing bool) {
	world.vms = append(world.vms, vm)
	world.members = append(world.members, settings.Upstream{
		Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre,
		Kind: settings.UpstreamKind(vm.Role), ChecksFencing: checksFencing, ChecksBoot: checksFencing,
	})
}

// publish gives the platform the VM list as it is.
func (world *world) publish() {
	list := append([]datastore.VM(nil), world.vms...)
	for _, entry := range world.entries {
		list = append(list, datastore.VM{
			Name: entry.name, Incarnation: fmt.Sprint(entry.generation.Load()), DataCentre: entry.dataCentre,
			Role: datastore.Entry, Address: entry.peers(),
		})
	}
	world.platform.SetVMs(list)
}

// start runs a new daemon on a new VM of the entry's name.
func (world *world) start(entry *entry) {
	world.lock.Lock()
	defer world.lock.Unlock()
	entry.generation.Add(1)
	host := hostOf(entry)
	world.publish()
	transport := &http.Transport{DialContext: world.wires.dialler(host), IdleConnTimeout: time.Minute}
	made, err := daemon.New(world.settings(entry).WithDefaults(), daemon.Deps{
		Clock:      world.clock,
		Dial:       world.wires.dialler(host),
		Listen:     func(_, address string) (net.Listener, error) { return world.wires.listen(host, address), nil },
		PeerClient: &http.Client{Transport: transport},
		Seed:       uint64(entry.generation.Load()),
	})
	if err != nil {
		world.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	entry.stop = stop
	entry.ended = make(chan struct{})
	entry.inService = true
	go func(ended chan struct{}) {
		defer close(ended)
		made.Serve(ctx)
	}(entry.ended)
}

func (world *world) settings(entry *entry) settings.Settings {
	sum := sha256.Sum256([]byte(tenantKey))
	made := settings.Settings{
		Name:            entry.name,
		DataCentre:      entry.dataCentre,
		CallerAddress:   entry.callers(),
		OperatorAddress: entry.operators(),
		PeerAddress:     entry.peers(),
		Upstreams:       world.members,
		Platform:        settings.Platform{Address: platformAddress},
		WeightStore:     settings.WeightStore{LoadsPerSecond: loadsPerSecond, LoadsAtOnce: loadsAtOnce},
		Tenants:         []settings.Tenant{{Name: "tenant", KeySHA256: hex.EncodeToString(sum[:])}},
		Classes:         []settings.Class{{Name: "chat", Deadline: classDeadline, Total: time.Minute}},
		KeepWarm:        settings.KeepWarm{ColdStartWeight: 1, IdleHourWeight: 1},
		Drain:           settings.Drain{Notice: drainNotice, Limit: drainLimit},
	}
	for _, name := range dataCentres {
		made.DataCentres = append(made.DataCentres, settings.DataCentre{Name: name, Region: "region"})
	}
	for _, other := range world.entries {
		if other != entry {
			made.Peers = append(made.Peers, settings.Peer{Name: other.name, Address: other.peers()})
		}
	}
	return made
}

// hostOf returns the host name of the current VM of an entry.
func hostOf(entry *entry) string {
	return fmt.Sprintf("%s#%d", entry.name, entry.generation.Load())
}

// inService returns an entry that the balancer would choose, or nil.
func (world *world) inService(random *rand.Rand) *entry {
	world.lock.Lock()
	defer world.lock.Unlock()
	var ready []*entry
	for _, entry := range world.entries {
		if entry.inService {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[random.IntN(len(ready))]
}

// close stops every daemon as planned and every stand-in.
func (world *world) close() {
	for _, entry := range world.entries {
		entry.stop()
		<-entry.ended
	}
	for _, made := range world.everyEngine() {
		made.Close()
	}
	for _, server := range world.closers {
		_ = server.Close()
	}
	world.servers.Wait()
	// What still waits for a timeout ends while the clock of the bubble goes on.
	time.Sleep(time.Minute)
}
