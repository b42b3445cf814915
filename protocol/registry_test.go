package protocol

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"
	testingclock "k8s.io/utils/clock/testing"
)

// logged receives the log lines.
var logged bytes.Buffer

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(&logged)
	os.Exit(m.Run())
}

// lines returns the number of lines logged since the last call.
func lines() int {
	klog.Flush()
	defer logged.Reset()
	return strings.Count(logged.String(), "ProtocolDiffers")
}

func TestVersionsOfOtherDaemons(t *testing.T) {
	for told, want := range map[int64]struct {
		version Version
		lines   int
	}{
		int64(Current): {Current, 0}, 0: {Untold, 1}, int64(Current) + 1: {Current + 1, 1}, int64(maxVersion): {maxVersion, 1},
		1_000_000_000: {Untold, 1}, -1: {Untold, 1}, math.MinInt64: {Untold, 1}, math.MaxInt64: {Untold, 1},
	} {
		registry := NewRegistry(testingclock.NewFakePassiveClock(time.Unix(1000, 0)))
		for range 3 {
			registry.Observe("a", told)
		}
		if got, count := registry.Version("a"), lines(); got != want.version || count != want.lines {
			t.Errorf("a daemon that tells %d has the version %d after %d lines, want %+v", told, got, count, want)
		}
	}
}

// TestTwoDaemonsOfOneName covers two daemons of one name and different builds, which tell their versions in turn.
func TestTwoDaemonsOfOneName(t *testing.T) {
	clk := testingclock.NewFakePassiveClock(time.Unix(1000, 0))
	registry := NewRegistry(clk)
	for range 50 {
		registry.Observe("a", 0)
		registry.Observe("a", 5)
	}
	if count := lines(); count != 1 || registry.Version("a") != 5 {
		t.Errorf("%d lines, version %d", count, registry.Version("a"))
	}
	clk.SetTime(clk.Now().Add(logInterval))
	registry.Observe("a", 0)
	if count := lines(); count != 1 || registry.Version("a") != Untold {
		t.Errorf("%d lines after the interval, version %d", count, registry.Version("a"))
	}
}

func TestDaemonsAreBounded(t *testing.T) {
	registry := NewRegistry(testingclock.NewFakePassiveClock(time.Unix(1000, 0)))
	for number := range 3 * maxDaemons {
		registry.Observe(fmt.Sprint(number), int64(Current))
	}
	if len(registry.daemons) > maxDaemons {
		t.Errorf("%d daemons are kept", len(registry.daemons))
	}
}
