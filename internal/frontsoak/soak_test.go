package frontsoak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var (
	seedFlag   = flag.Uint64("seed", 0, "seed of the first run; zero runs the fixed seeds")
	seedsFlag  = flag.Int("seeds", 1, "number of seeds to run, from the first on")
	lengthFlag = flag.Duration("length", 12*time.Second, "time of faults of one run")
	frontsFlag = flag.Int("fronts", 4, "number of daemons")
)

const (
	clientCount = 8
	engineCount = 4
	deskCount   = 3
	// settleTime is the time after the last fault in which all must work again: a term, a turnover and loads.
	settleTime = 12 * time.Second
)

// fixedSeeds are run in CI. Seeds that failed once stay here, with the cause. Seeds 109 to 111 failed side by side,
// since two runs had drawn the same port for a daemon; TestRunsHaveAddressesOfTheirOwn stands for them.
//
//	2: the proxy delivered an order after a partition that its sender had reset meanwhile.
//	32: a holder that took the lease from another VM was killed within the turnover; its next process sent at once.
var fixedSeeds = []uint64{1, 2, 32}

func TestSoak(t *testing.T) {
	binary := build(t)
	seeds := fixedSeeds
	if *seedFlag != 0 {
		seeds = nil
		for offset := range *seedsFlag {
			seeds = append(seeds, *seedFlag+uint64(offset))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, seed)
		})
	}
}

// build returns the name of a binary of this code.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "bronzestall")
	if output, err := exec.Command("go", "build", "-o", binary, "../../cmd/bronzestall").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return binary
}

// world is everything of one run.
type world struct {
	judge    *judge
	tables   *tables
	replicas []*replica
	fronts   []*process
	version  uint64
	random   *rand.Rand
}

func soak(t *testing.T, binary string, seed uint64) {
	folder := t.TempDir()
	world, end := startWorld(t, folder, binary, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for number := range clientCount {
		client := newClient(fmt.Sprint("c", number), world.judge, seed*100+uint64(number), world.addresses())
		clients.Go(func() { client.run(ctx) })
	}
	time.Sleep(2 * time.Second)
	spoken, quiet := context.WithTimeout(ctx, *lengthFlag+settleTime/2)
	defer quiet()
	go world.speakUp(spoken, seed)
	world.disturb(t, *lengthFlag)
	time.Sleep(settleTime)
	cancel()
	clients.Wait()
	world.checkRecovery(seed)
	end()
	breaches := world.judge.verdict()
	t.Logf("outcomes %v", world.judge.outcomes)
	for _, breach := range breaches {
		t.Error(breach)
	}
	if len(breaches) > 0 {
		keepLogs(t, folder, seed)
	}
}

// startWorld starts everything of one run, and returns what ends it.
func startWorld(t *testing.T, folder, binary string, seed uint64) (*world, func()) {
	world, err := newWorld(folder, binary, seed)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	for _, replica := range world.replicas {
		go replica.beat(stop)
	}
	for _, front := range world.fronts {
		front.began = world.judge.start
		go front.keep()
	}
	return world, func() {
		for _, front := range world.fronts {
			front.halt()
		}
		close(stop)
	}
}

// keepLogs copies the logs of a failed run to where they stay.
func keepLogs(t *testing.T, folder string, seed uint64) {
	kept := filepath.Join(os.TempDir(), fmt.Sprintf("frontsoak-%d", seed))
	if err := os.CopyFS(kept, os.DirFS(folder)); err != nil {
		t.Log(err)
		return
	}
	t.Logf("logs are in %s", kept)
}

func newWorld(folder, binary string, seed uint64) (*world, error) {
	made := &world{judge: newJudge(), tables: newTables(), random: rand.New(rand.NewPCG(seed, 7))}
	made.configure()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, made.tables) }()
	for number := range engineCount + deskCount {
		service := engines
		if number >= engineCount {
			service = desks
		}
		next, err := newReplica(fmt.Sprintf("i-%d", number), service, fmt.Sprintf("z%d", number%2), made.judge, made.tables)
		if err != nil {
			return nil, err
		}
		made.replicas = append(made.replicas, next)
	}
	made.fronts, err = newProcesses(*frontsFlag, ownIP(seed), binary, folder, listener.Addr().String())
	return made, err
}

// configure writes the next version of the configuration.
func (world *world) configure() {
	world.version += 1 + world.version%3
	route := func(path, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": path, "host": "h.example", "pathPrefix": path, "kind": kind, "service": service, "timeoutMs": 4000,
			"targetLatencyMs": 1500, "targetGapMs": 300, "priority": 1, "maxAttempts": attempts, "resumable": resumable,
		}
	}
	var models []map[string]any
	for _, name := range modelNames() {
		models = append(models, map[string]any{"name": name, "weightsMb": 100, "loadTimeS": 2, "diskS": loadTime.Seconds(), "warmS": loadTime.Seconds()})
	}
	content, _ := json.Marshal(map[string]any{
		"version": world.version,
		"routes": []any{
			route(pathCall, "non_idempotent", desks, 1, false), route(pathLookup, "idempotent", desks, 2, false),
			route(pathStream, "streaming", engines, 1, false), route(pathResume, "streaming", engines, 2, true),
		},
		"services": []any{
			map[string]any{"name": desks, "healthPath": "/health", "maxConnections": 100},
			map[string]any{"name": engines, "healthPath": "/health", "maxConnections": 100, "engine": map[string]any{
				"slots": 8, "weightsMb": 100 * roomFor, "maxAdapters": 2, "loadsPerS": 5, "models": models,
			}},
		},
		"limits": map[string]any{"maxBodyBytes": 65536},
	})
	world.tables.put("op", "config", content)
}

func (world *world) addresses() []string {
	var addresses []string
	for _, front := range world.fronts {
		addresses = append(addresses, front.client)
	}
	return addresses
}

// checkRecovery asserts that each kind of request is served by each daemon after the faults.
func (world *world) checkRecovery(seed uint64) {
	client := newClient("last", world.judge, seed, world.addresses())
	for _, front := range world.fronts {
		for _, kind := range []string{pathCall, pathLookup, pathStream, pathResume} {
			served := false
			for range 5 {
				served = served || client.send(context.Background(), kind, front.client)
			}
			if !served {
				world.judge.breach("%s does not serve %s after the faults", front.name, kind)
			}
		}
	}
}

func TestRunsHaveAddressesOfTheirOwn(t *testing.T) {
	seen := map[string]uint64{}
	for seed := uint64(1); seed < 2000; seed++ {
		if other, ok := seen[ownIP(seed)]; ok {
			t.Fatalf("seeds %d and %d share %s", other, seed, ownIP(seed))
		}
		seen[ownIP(seed)] = seed
	}
}
