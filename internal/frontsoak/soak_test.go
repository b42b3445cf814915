package frontsoak

import (
	"context"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	seedFlag   = flag.Uint64("seed", 0, "seed of the first run; zero runs the fixed seeds")
	seedsFlag  = flag.Int("seeds", 1, "number of consecutive seeds to run, from -seed on")
	lengthFlag = flag.Duration("length", 12*time.Second, "time for which a run injects faults")
	frontsFlag = flag.Int("fronts", 4, "number of daemons")
)

const (
	clientCount       = 8
	engineCount       = 4
	plainReplicaCount = 3
	// settleTime is the time after the last fault in which everything must work again: it covers a lease term, a
	// turnover and loads of models.
	settleTime = 12 * time.Second
)

// fixedSeeds are run in CI. A seed that failed once stays here with the cause. Seeds 109 to 111 failed when run in
// parallel, since two runs had been given the same port for a daemon; TestDaemonAddressesDifferBetweenSeeds covers them.
//
//	2: after a stall the proxy delivered an order whose connection the sender had reset meanwhile.
//	5: a stream that its replica broke off after the event with the number zero got that event twice.
//	32: a daemon that had acquired the lease from one on another VM was killed within the turnover; its next process
//	sent orders at once.
var fixedSeeds = []uint64{1, 2, 5, 32}

func TestSoak(t *testing.T) {
	binary := build(t)
	for _, seed := range seedsOr(fixedSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, seed, soakCase{fronts: *frontsFlag, length: *lengthFlag})
		})
	}
}

// seedsOr returns the seeds that the flags name, or the fixed ones.
func seedsOr(fixed []uint64) []uint64 {
	if *seedFlag == 0 {
		return fixed
	}
	var seeds []uint64
	for offset := range *seedsFlag {
		seeds = append(seeds, *seedFlag+uint64(offset))
	}
	return seeds
}

// build builds the daemon and returns the path of the binary.
func build(t *testing.T) string {
	watchSources(t)
	return buildIn(t, "../..")
}

// buildIn builds the daemon of the source tree and returns the path of the binary.
func buildIn(t *testing.T, root string) string {
	binary := filepath.Join(t.TempDir(), "bronzestall")
	command := exec.Command("go", "build", "-o", binary, "./cmd/bronzestall")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return binary
}

// watchSources lists the folders of the module, so that go test does not take cached results of a daemon whose source differs: it takes
// those only if all that the test opened is as it was.
func watchSources(t *testing.T) {
	const module = "../.."
	err := filepath.WalkDir(module, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if name := entry.Name(); path != module && (strings.HasPrefix(name, ".") || name == "journal" || name == "docs") {
			return fs.SkipDir
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// soakCase is what differs between soaks.
type soakCase struct {
	// fronts is the number of daemons, and length the time for which faults are injected.
	fronts int
	length time.Duration
	// alongside, if it is not nil, runs beside the faults. Recovery begins after it.
	alongside func(testbed *testbed)
	// streams is the form of the events of replicas.
	streams eventForm
}

// soak runs one seed: it sends requests, injects faults, waits for recovery and reports all violations.
func soak(t *testing.T, binary string, seed uint64, c soakCase) {
	testbed := newTestbed(t, c.fronts, binary, seed)
	testbed.checker.streams = c.streams
	views := testbed.useLinks(t)
	stop := testbed.start()
	ctx, cancel := context.WithCancel(context.Background())
	clients := testbed.startClients(ctx, seed)
	takeUps := testbed.startTakeUps(ctx, seed)
	time.Sleep(2 * time.Second)
	noticeContext, stopNotices := context.WithTimeout(ctx, c.length+settleTime/2)
	defer stopNotices()
	go testbed.injectNotices(noticeContext, seed)
	go testbed.injectLimits(noticeContext, seed)
	go testbed.injectDeadlyPart(noticeContext, seed)
	go testbed.injectRestores(noticeContext, seed)
	others := sync.WaitGroup{}
	others.Go(func() { testbed.injectCuts(noticeContext, t, seed, views) })
	if c.alongside != nil {
		others.Go(func() { c.alongside(testbed) })
	}
	testbed.injectFaults(t, c.length)
	others.Wait()
	time.Sleep(settleTime)
	cancel()
	clients.Wait()
	checkReleases(t, releaseCase{anyShare: true}, takeUps())
	testbed.checkRecovery(seed)
	stop()
	deadly := testbed.checker.deadly.Load()
	violations := append(testbed.checker.finish(), deadly.check()...)
	violations = append(violations, givenUp(t, testbed.folder)...)
	t.Logf("outcomes %v, %d ends by a deadly part", testbed.checker.outcomes, deadly.ends)
	for _, violation := range violations {
		t.Error(violation)
	}
}

// startClients starts clients that send requests until the context ends, and returns what waits for them.
func (testbed *testbed) startClients(ctx context.Context, seed uint64) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	for number := range clientCount {
		client := newClient(fmt.Sprint("c", number), testbed.checker, seed*100+uint64(number), testbed.addresses())
		clients.Go(func() { client.run(ctx) })
	}
	return clients
}

// saveLogs copies the logs of a failed run to a directory of its own that is not deleted after the test.
func saveLogs(t *testing.T, folder string, seed uint64) {
	directory, err := os.MkdirTemp("", fmt.Sprintf("frontsoak-%d-", seed))
	if err != nil {
		t.Log(err)
		return
	}
	if err := os.CopyFS(directory, os.DirFS(folder)); err != nil {
		t.Log(err)
		return
	}
	t.Logf("logs are in %s", directory)
}

// checkRecovery checks that each daemon serves each kind of request after the faults, in one of 5 attempts.
func (testbed *testbed) checkRecovery(seed uint64) {
	client := newClient("last", testbed.checker, seed, testbed.addresses())
	for _, front := range testbed.fronts {
		for _, kind := range []string{pathCall, pathLookup, pathStream, pathResume} {
			served := false
			for range 5 {
				served = served || client.send(context.Background(), kind, front.client)
			}
			if !served {
				testbed.checker.recordViolation("%s does not serve %s after the faults", front.name, kind)
			}
		}
	}
}

// TestDaemonAddressesDifferBetweenSeeds guards against two parallel runs that are given the same port for a daemon.
func TestDaemonAddressesDifferBetweenSeeds(t *testing.T) {
	seen := map[string]uint64{}
	for seed := uint64(1); seed < 2000; seed++ {
		if other, ok := seen[loopbackIP(seed)]; ok {
			t.Fatalf("seeds %d and %d share %s", other, seed, loopbackIP(seed))
		}
		seen[loopbackIP(seed)] = seed
	}
}
