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
	hoursFlag = flag.Float64("hours", 0, "program time of one run in hours; zero means the short length")
)

const (
	// shortRun is the program time of the fixed set.
	shortRun = 3 * time.Minute
	// callersCount is the number of callers that send at the same time.
	callersCount = 6
	// settle is the time after the last fault in which everything must work again.
	settle = 60 * time.Second
	// noteBound is the time in which a note must be in force everywhere.
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

func soak(t *testing.T, seed uint64, length time.Duration) {
	world := newWorld(t, 2)
	time.Sleep(20 * time.Second)
	if err := world.apply(firstNote); err != nil {
		t.Fatal(err)
	}
	time.Sleep(noteBound)
	judge := newJudge(world)
	disturber := newDisturber(world, seed)
	end := time.Now().Add(length)
	var duties sync.WaitGroup
	duties.Go(func() { disturber.run(end) })
	duties.Go(func() { judge.watch(end.Add(settle)) })
	for _, entry := range world.entries {
		duties.Go(func() { judge.watchNumber(entry, end.Add(settle)) })
	}
	duties.Go(func() { world.operate(judge, seed, end) })
	for number := range callersCount {
		caller := newCaller(world, seed<<8+uint64(number))
		duties.Go(func() {
			defer caller.close()
			caller.run(judge, number, end)
		})
	}
	duties.Wait()
	time.Sleep(settle)
	checkRecovered(world, judge, seed)
	breaches := judge.finish()
	world.close()
	t.Logf("seed %d: %s of program time, faults %v, results %v", seed, length, inOrder(disturber.counts), inOrder(judge.counts))
	if len(breaches) > 0 {
		t.Errorf("seed %d: %d breaches:\n%s", seed, len(breaches), strings.Join(breaches[:min(len(breaches), 20)], "\n"))
		events.print(os.Stdout)
	}
}

func inOrder(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// run sends mixed requests until the end.
func (caller *caller) run(judge *judge, number int, end time.Time) {
	targets := []string{"round", "plan", "gate", "round:shop", "round:maker", "extra", "round:late"}
	for call := 0; time.Now().Before(end); call++ {
		time.Sleep(time.Duration(caller.random.IntN(3000)) * time.Millisecond)
		switch caller.random.IntN(5) {
		case 0:
			caller.confirmUntilKnown(judge, fmt.Sprintf("key-%d-%d", number, call))
		case 1:
			target := targets[caller.random.IntN(len(targets))]
			content := fmt.Sprint(caller.random.IntN(1 << 30))
			if caller.random.IntN(20) == 0 {
				content = "CRASH-THE-ENGINE " + content
			}
			judge.hear(caller.prompt(target, true, 1+caller.random.IntN(100), content))
		default:
			target := targets[caller.random.IntN(len(targets))]
			judge.hear(caller.chat(target, caller.random.IntN(2) == 0, 1+caller.random.IntN(200)))
		}
	}
}

// sendings is the number of times that a caller sends a call with one key.
const sendings = 4

// confirmUntilKnown sends a call again, through any daemon, until its end is known.
func (caller *caller) confirmUntilKnown(judge *judge, key string) {
	for range sendings {
		got := caller.confirm(key)
		judge.hearCall(key, got)
		if got.whole {
			return
		}
		time.Sleep(time.Duration(caller.random.IntN(2000)) * time.Millisecond)
	}
}

func (judge *judge) count(name string) {
	judge.lock.Lock()
	defer judge.lock.Unlock()
	judge.counts[name]++
}

// checkRecovered checks that everything works once the faults are gone.
func checkRecovered(world *world, judge *judge, seed uint64) {
	number := world.inForce()
	for _, entry := range world.entries {
		if got := world.numberAt(entry); got != number {
			judge.breach("%s has number %d in force %s after the last fault, want %d", entry.name, got, settle, number)
		}
	}
	caller := newCaller(world, seed)
	defer caller.close()
	for _, target := range []string{"round", "plan", "gate", "round:shop"} {
		if got := caller.chat(target, true, 5); !got.whole {
			judge.breach("%s is not answered %s after the last fault: %+v", target, settle, got)
		}
	}
	if got := caller.confirm(fmt.Sprint("last-", seed)); !got.whole {
		judge.breach("a call is not answered %s after the last fault: %+v", settle, got)
	}
}
