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

// disturber brings faults upon a world until it is told to stop.
type disturber struct {
	world  *world
	random *rand.Rand
	// busy holds the entries that are being replaced.
	lock sync.Mutex
	busy map[*entry]bool
	// busyHosts holds the engines that are being reclaimed.
	busyHosts map[string]bool
	// replacing counts replacements under way.
	replacing sync.WaitGroup
	mends     []func()
	counts    map[string]int
}

func newDisturber(world *world, seed uint64) *disturber {
	return &disturber{world: world, random: rand.New(rand.NewPCG(seed, 1)), busy: map[*entry]bool{}, busyHosts: map[string]bool{}, counts: map[string]int{}}
}

// fault is one kind of disturbance.
type fault struct {
	name string
	do   func(disturber *disturber)
}

var faults = []fault{
	{"crash engine", (*disturber).crashEngine},
	{"disturb engine", (*disturber).disturbEngine},
	{"disturb service", (*disturber).disturbService},
	{"silence connections", (*disturber).silence},
	{"disturb platform", (*disturber).disturbPlatform},
	{"lose platform", (*disturber).losePlatform},
	{"slow weight store", (*disturber).slowWeights},
	{"cut daemon from daemon", (*disturber).cutDaemons},
	{"cut daemon from platform", (*disturber).cutPlatform},
	{"cut daemon from upstream", (*disturber).cutUpstream},
	{"replace daemon", (*disturber).replace},
	{"kill daemon", (*disturber).kill},
	{"reclaim engine", (*disturber).reclaim},
	{"freeze daemon", (*disturber).freeze},
	{"deafen daemon to platform", (*disturber).deafen},
	{"crash request again and again", (*disturber).crashRequests},
	{"replace every daemon", (*disturber).replaceAll},
}

// run brings a fault every few seconds until the end.
func (disturber *disturber) run(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(2+disturber.random.IntN(10)) * time.Second)
		chosen := faults[disturber.random.IntN(len(faults))]
		disturber.counts[chosen.name]++
		chosen.do(disturber)
	}
	disturber.heal()
}

// heal ends every fault and waits for replacements.
func (disturber *disturber) heal() {
	disturber.replacing.Wait()
	for _, mend := range disturber.mends {
		mend()
	}
	for _, made := range disturber.world.everyEngine() {
		made.SetFaults(engine.Faults{})
	}
	for _, made := range disturber.world.services {
		made.SetFaults(standinservice.Faults{})
	}
	disturber.world.disturbPlatform(standinplatform.Faults{})
	disturber.world.weights.SetFaults(weights.Faults{})
	klog.Info("soak: healed")
}

func (disturber *disturber) engine() (string, *engine.Server) {
	names := make([]string, 0, len(disturber.world.members))
	for _, member := range disturber.world.members {
		if disturber.world.engine(member.Name) != nil {
			names = append(names, member.Name)
		}
	}
	name := names[disturber.random.IntN(len(names))]
	return name, disturber.world.engine(name)
}

func (disturber *disturber) crashEngine() {
	name, made := disturber.engine()
	klog.Info("soak: crash ", name)
	made.Crash()
}

func (disturber *disturber) disturbEngine() {
	name, made := disturber.engine()
	faults := engine.Faults{}
	switch disturber.random.IntN(8) {
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
	made.SetFaults(faults)
}

func (disturber *disturber) disturbService() {
	name := fmt.Sprintf("desk-%d", 1+disturber.random.IntN(2))
	faults := standinservice.Faults{}
	switch disturber.random.IntN(6) {
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
	disturber.world.services[name].SetFaults(faults)
}

func (disturber *disturber) silence() {
	name, _ := disturber.engine()
	klog.Info("soak: silent connections to ", name)
	disturber.world.wires.silence(name, rand.New(rand.NewPCG(disturber.random.Uint64(), 2)))
}

func (disturber *disturber) disturbPlatform() {
	faults := standinplatform.Faults{}
	switch disturber.random.IntN(4) {
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
	disturber.world.disturbPlatform(faults)
	disturber.later(30, func() { disturber.world.disturbPlatform(standinplatform.Faults{}) })
}

func (disturber *disturber) losePlatform() {
	seconds := 90
	if disturber.random.IntN(8) == 0 {
		seconds = 600
	}
	klog.Info("soak: platform away for at most ", seconds, " s")
	disturber.world.disturbPlatform(standinplatform.Faults{Unavailable: true})
	disturber.later(seconds, func() { disturber.world.disturbPlatform(standinplatform.Faults{}) })
}

func (disturber *disturber) slowWeights() {
	klog.Info("soak: weight store slow")
	disturber.world.weights.SetFaults(weights.Faults{SlowFactor: 4})
	disturber.later(40, func() { disturber.world.weights.SetFaults(weights.Faults{}) })
}

// later ends a fault after at most the seconds.
func (disturber *disturber) later(seconds int, end func()) {
	lasts := time.Duration(1+disturber.random.IntN(seconds)) * time.Second
	disturber.replacing.Go(func() {
		time.Sleep(lasts)
		end()
	})
}

func (disturber *disturber) entry() *entry {
	entries := disturber.world.entries
	return entries[disturber.random.IntN(len(entries))]
}

func (disturber *disturber) cutDaemons() {
	disturber.cut(hostOf(disturber.entry()), hostOf(disturber.entry()))
}

func (disturber *disturber) cutPlatform() {
	disturber.cut(hostOf(disturber.entry()), platformHost)
}

func (disturber *disturber) cutUpstream() {
	name, _ := disturber.engine()
	disturber.cut(hostOf(disturber.entry()), name)
}

// cut loses traffic in one direction or both for a while.
func (disturber *disturber) cut(from, to string) {
	if from == to {
		return
	}
	wires := disturber.world.wires
	both := disturber.random.IntN(2) == 0
	klog.Info("soak: cut ", from, " from ", to, ", both ways ", both)
	wires.cut(from, to)
	if both {
		wires.cut(to, from)
	}
	disturber.later(60, func() {
		wires.mend(from, to)
		wires.mend(to, from)
	})
}

// take marks an entry as being replaced unless another of its data centre is.
func (disturber *disturber) take() *entry {
	disturber.lock.Lock()
	defer disturber.lock.Unlock()
	if len(disturber.busy) > 1 {
		return nil
	}
	chosen := disturber.entry()
	if disturber.busy[chosen] {
		return nil
	}
	disturber.busy[chosen] = true
	return chosen
}

func (disturber *disturber) give(entry *entry) {
	disturber.lock.Lock()
	defer disturber.lock.Unlock()
	delete(disturber.busy, entry)
}

func (disturber *disturber) replace() {
	chosen := disturber.take()
	if chosen == nil {
		return
	}
	klog.Info("soak: replace ", hostOf(chosen))
	disturber.replacing.Go(func() {
		defer disturber.give(chosen)
		disturber.world.replace(chosen)
	})
}

func (disturber *disturber) kill() {
	chosen := disturber.take()
	if chosen == nil {
		return
	}
	klog.Info("soak: kill ", hostOf(chosen))
	pause := time.Duration(1+disturber.random.IntN(30)) * time.Second
	disturber.replacing.Go(func() {
		defer disturber.give(chosen)
		disturber.world.kill(chosen, pause)
	})
}
