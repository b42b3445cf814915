package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
	standinplatform "github.com/bronzestall/bronzestall/internal/standin/platform"
	standinservice "github.com/bronzestall/bronzestall/internal/standin/service"
	"github.com/bronzestall/bronzestall/internal/standin/weights"
	"k8s.io/klog/v2"
)

// injector injects random faults into a testbed. The lock guards its reservations.
type injector struct {
	testbed *testbed
	random  *rand.Rand
	lock    sync.Mutex
	// reserved holds the entries that are being replaced or frozen.
	reserved map[*entry]bool
	// reservedHosts holds the engines that are being reclaimed, and the window of crash requests.
	reservedHosts map[string]bool
	// pending counts replacements and other faults that have not ended.
	pending sync.WaitGroup
	counts  map[string]int
}

func newInjector(testbed *testbed, seed uint64) *injector {
	return &injector{testbed: testbed, random: rand.New(rand.NewPCG(seed, 1)), reserved: map[*entry]bool{}, reservedHosts: map[string]bool{}, counts: map[string]int{}}
}

// fault is a kind of fault with the function that injects it.
type fault struct {
	name   string
	inject func(injector *injector)
}

var faults = []fault{
	{"crash engine", (*injector).crashEngine},
	{"engine misbehaves", (*injector).injectEngineFault},
	{"service misbehaves", (*injector).injectServiceFault},
	{"stall connections", (*injector).stallConnections},
	{"platform misbehaves", (*injector).setPlatformFaults},
	{"platform unavailable", (*injector).stopPlatform},
	{"slow weight store", (*injector).slowWeightStore},
	{"block traffic between daemons", (*injector).blockDaemons},
	{"block traffic to platform", (*injector).blockPlatform},
	{"block traffic to upstream", (*injector).blockUpstream},
	{"replace daemon", (*injector).replace},
	{"kill daemon", (*injector).kill},
	{"reclaim engine", (*injector).reclaim},
	{"freeze daemon", (*injector).freeze},
	{"block traffic from platform", (*injector).blockFromPlatform},
	{"repeated crash request", (*injector).sendCrashRequests},
	{"replace every daemon", (*injector).replaceAll},
}

// run injects a fault every few seconds until the end, and then ends all faults.
func (injector *injector) run(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(2+injector.random.IntN(10)) * time.Second)
		chosen := faults[injector.random.IntN(len(faults))]
		injector.counts[chosen.name]++
		chosen.inject(injector)
	}
	injector.repairAll()
}

// repairAll waits for pending faults and replacements and ends all others.
func (injector *injector) repairAll() {
	injector.pending.Wait()
	for _, instance := range injector.testbed.allEngines() {
		instance.SetFaults(engine.Faults{})
	}
	for _, instance := range injector.testbed.services {
		instance.SetFaults(standinservice.Faults{})
	}
	injector.testbed.setPlatformFaults(standinplatform.Faults{})
	injector.testbed.weights.SetFaults(weights.Faults{})
	klog.Info("soak: all faults ended")
}

// engine returns a random engine with its name.
func (injector *injector) engine() (string, *engine.Server) {
	names := make([]string, 0, len(injector.testbed.members))
	for _, member := range injector.testbed.members {
		if injector.testbed.engine(member.Name) != nil {
			names = append(names, member.Name)
		}
	}
	name := names[injector.random.IntN(len(names))]
	return name, injector.testbed.engine(name)
}

func (injector *injector) crashEngine() {
	name, instance := injector.engine()
	klog.Info("soak: crash ", name)
	instance.Crash()
}

// injectEngineFault gives a random engine one random fault until the end or its next fault.
func (injector *injector) injectEngineFault() {
	name, instance := injector.engine()
	faults := engine.Faults{}
	switch injector.random.IntN(8) {
	case 0:
		faults.Leaving = true
	case 1:
		faults.SlowFactor = 5
	case 2:
		faults.LoadLagMilliseconds = 5000
	case 3:
		faults.CrossedHeads = 2
	case 4:
		faults.CrossedPieces = 2
	case 5:
		faults.Truncated = 2
	case 6:
		faults.LoseOrderAnswers = 2
	case 7:
		faults.FailLoads = 1
	}
	klog.Infof("soak: %s has %+v", name, faults)
	instance.SetFaults(faults)
}

// injectServiceFault gives a random service one random fault until the end or its next fault.
func (injector *injector) injectServiceFault() {
	name := fmt.Sprintf("desk-%d", 1+injector.random.IntN(2))
	faults := standinservice.Faults{}
	switch injector.random.IntN(6) {
	case 0:
		faults.CutBefore = 2
	case 1:
		faults.CutAfter = 2
	case 2:
		faults.Refuse = 2
	case 3:
		faults.Crossed = 2
	case 4:
		faults.Truncated = 2
	case 5:
		faults.SlowMilliseconds = 3000
	}
	klog.Infof("soak: %s has %+v", name, faults)
	injector.testbed.services[name].SetFaults(faults)
}

func (injector *injector) stallConnections() {
	name, _ := injector.engine()
	klog.Info("soak: stall connections of ", name)
	injector.testbed.network.stallConnections(name, rand.New(rand.NewPCG(injector.random.Uint64(), 2)))
}

// setPlatformFaults gives the platform one random fault for up to 30 s.
func (injector *injector) setPlatformFaults() {
	faults := standinplatform.Faults{}
	switch injector.random.IntN(4) {
	case 0:
		faults.LoseAnswers = 3
	case 1:
		faults.SlowMilliseconds = 700
	case 2:
		faults.StaleVMs = true
	case 3:
		faults.CutBefore = true
	}
	klog.Infof("soak: platform has %+v", faults)
	injector.testbed.setPlatformFaults(faults)
	injector.endLater(30, func() { injector.testbed.setPlatformFaults(standinplatform.Faults{}) })
}

// stopPlatform makes the platform unavailable for up to 90 s, or with a probability of 1 in 8 for up to 600 s.
func (injector *injector) stopPlatform() {
	seconds := 90
	if injector.random.IntN(8) == 0 {
		seconds = 600
	}
	klog.Info("soak: platform unavailable for at most ", seconds, " s")
	injector.testbed.setPlatformFaults(standinplatform.Faults{Unavailable: true})
	injector.endLater(seconds, func() { injector.testbed.setPlatformFaults(standinplatform.Faults{}) })
}

func (injector *injector) slowWeightStore() {
	klog.Info("soak: weight store slow")
	injector.testbed.weights.SetFaults(weights.Faults{SlowFactor: 4})
	injector.endLater(40, func() { injector.testbed.weights.SetFaults(weights.Faults{}) })
}

// endLater calls the function that ends a fault after a random time of at most the seconds.
func (injector *injector) endLater(seconds int, end func()) {
	duration := time.Duration(1+injector.random.IntN(seconds)) * time.Second
	injector.pending.Go(func() {
		time.Sleep(duration)
		end()
	})
}

// entry returns a random entry.
func (injector *injector) entry() *entry {
	entries := injector.testbed.entries
	return entries[injector.random.IntN(len(entries))]
}

func (injector *injector) blockDaemons() {
	injector.block(hostOf(injector.entry()), hostOf(injector.entry()))
}

func (injector *injector) blockPlatform() {
	injector.block(hostOf(injector.entry()), platformHost)
}

func (injector *injector) blockUpstream() {
	name, _ := injector.engine()
	injector.block(hostOf(injector.entry()), name)
}

// block drops the traffic between two hosts, in one direction or both, for up to 60 s.
func (injector *injector) block(from, to string) {
	if from == to {
		return
	}
	network := injector.testbed.network
	both := injector.random.IntN(2) == 0
	klog.Info("soak: block traffic from ", from, " to ", to, ", both directions ", both)
	network.block(from, to)
	if both {
		network.block(to, from)
	}
	injector.endLater(60, func() {
		network.unblock(from, to)
		network.unblock(to, from)
	})
}

// reserveEntry reserves a random entry. It returns nil if that one or any two others are reserved.
func (injector *injector) reserveEntry() *entry {
	injector.lock.Lock()
	defer injector.lock.Unlock()
	if len(injector.reserved) > 1 {
		return nil
	}
	chosen := injector.entry()
	if injector.reserved[chosen] {
		return nil
	}
	injector.reserved[chosen] = true
	return chosen
}

// releaseEntry ends a reservation of an entry.
func (injector *injector) releaseEntry(entry *entry) {
	injector.lock.Lock()
	defer injector.lock.Unlock()
	delete(injector.reserved, entry)
}

func (injector *injector) replace() {
	chosen := injector.reserveEntry()
	if chosen == nil {
		return
	}
	klog.Info("soak: replace ", hostOf(chosen))
	injector.pending.Go(func() {
		defer injector.releaseEntry(chosen)
		injector.testbed.replace(chosen)
	})
}

func (injector *injector) kill() {
	chosen := injector.reserveEntry()
	if chosen == nil {
		return
	}
	klog.Info("soak: kill ", hostOf(chosen))
	pause := time.Duration(1+injector.random.IntN(30)) * time.Second
	injector.pending.Go(func() {
		defer injector.releaseEntry(chosen)
		injector.testbed.kill(chosen, pause)
	})
}
