package soak

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "seed of one run; zero runs the fixed set")
	hoursFlag = flag.Float64("hours", 0, "simulated time of one run in hours; zero means the short length")
)

const (
	// shortRun is the simulated time of each run of the fixed set.
	shortRun = 3 * time.Minute
	// callerCount is the number of callers that send concurrently.
	callerCount = 6
	// settleTime is the time after the last fault in which everything must work again.
	settleTime = 60 * time.Second
	// noteBound is the time within which a note must be in force at every daemon.
	noteBound = 17 * time.Second
)

var fixedSeeds = []uint64{1, 2, 3}

func TestSoak(t *testing.T) {
	seeds, length := fixedSeeds, shortRun
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	if *hoursFlag != 0 {
		length = time.Duration(*hoursFlag * float64(time.Hour))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { soak(t, seed, length) })
		})
	}
}

// soak runs one seed: it sends requests and injects faults for the simulated time, waits for recovery and reports all
// violations.
func soak(t *testing.T, seed uint64, length time.Duration) {
	testbed := newTestbed(t, 2)
	time.Sleep(20 * time.Second)
	if err := testbed.apply(firstNote); err != nil {
		t.Fatal(err)
	}
	time.Sleep(noteBound)
	checker := newChecker(testbed)
	injector := newInjector(testbed, seed)
	end := time.Now().Add(length)
	var tasks sync.WaitGroup
	tasks.Go(func() { injector.run(end) })
	tasks.Go(func() { checker.watch(end.Add(settleTime)) })
	for _, entry := range testbed.entries {
		tasks.Go(func() { checker.watchNumber(entry, end.Add(settleTime)) })
	}
	tasks.Go(func() { testbed.runOperators(checker, seed, end) })
	for number := range callerCount {
		caller := newCaller(testbed, seed<<8+uint64(number))
		tasks.Go(func() {
			defer caller.close()
			caller.run(checker, number, end)
		})
	}
	tasks.Wait()
	time.Sleep(settleTime)
	checkRecovered(testbed, checker, seed)
	violations := checker.finish()
	testbed.close()
	t.Logf("seed %d: %s of simulated time, faults %v, results %v", seed, length, formatCounts(injector.counts), formatCounts(checker.counts))
	if len(violations) > 0 {
		t.Errorf("seed %d: %d violations:\n%s", seed, len(violations), strings.Join(violations[:min(len(violations), 20)], "\n"))
		logTrace.print(os.Stdout)
	}
}

// formatCounts formats counts sorted by name.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// run sends requests and calls of random kinds until the end.
func (caller *caller) run(checker *checker, number int, end time.Time) {
	targets := []string{"round", "plan", "gate", "round:shop", "round:maker", "extra", "round:late"}
	for call := 0; time.Now().Before(end); call++ {
		time.Sleep(time.Duration(caller.random.IntN(3000)) * time.Millisecond)
		switch caller.random.IntN(5) {
		case 0:
			caller.confirmUntilKnown(checker, fmt.Sprintf("key-%d-%d", number, call))
		case 1:
			target := targets[caller.random.IntN(len(targets))]
			content := fmt.Sprint(caller.random.IntN(1 << 30))
			if caller.random.IntN(20) == 0 {
				content = "CRASH-THE-ENGINE " + content
			}
			checker.record(caller.prompt(target, true, 1+caller.random.IntN(100), content))
		default:
			target := targets[caller.random.IntN(len(targets))]
			checker.record(caller.chat(target, caller.random.IntN(2) == 0, 1+caller.random.IntN(200)))
		}
	}
}

// maxAttempts is how often a caller sends a call with the same key.
const maxAttempts = 4

// confirmUntilKnown sends a call, each time through any daemon, until it gets a complete response.
func (caller *caller) confirmUntilKnown(checker *checker, key string) {
	for range maxAttempts {
		got := caller.confirm(key)
		checker.recordCall(key, got)
		if got.complete {
			return
		}
		time.Sleep(time.Duration(caller.random.IntN(2000)) * time.Millisecond)
	}
}

// count counts an event for the log.
func (checker *checker) count(name string) {
	checker.lock.Lock()
	defer checker.lock.Unlock()
	checker.counts[name]++
}

// checkRecovered checks that everything works again settleTime after the last fault.
func checkRecovered(testbed *testbed, checker *checker, seed uint64) {
	number := testbed.inForce()
	for _, entry := range testbed.entries {
		if got := testbed.numberAt(entry); got != number {
			checker.recordViolation("%s has number %d in force %s after the last fault, want %d", entry.name, got, settleTime, number)
		}
	}
	caller := newCaller(testbed, seed)
	defer caller.close()
	for _, target := range []string{"round", "plan", "gate", "round:shop"} {
		if got := caller.chat(target, true, 5); !got.complete {
			checker.recordViolation("%s gives no complete response %s after the last fault: %+v", target, settleTime, got)
		}
	}
	if got := caller.confirm(fmt.Sprint("last-", seed)); !got.complete {
		checker.recordViolation("a call gets no complete response %s after the last fault: %+v", settleTime, got)
	}
}
