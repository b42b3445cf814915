package soak

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"k8s.io/klog/v2"
)

// traceLines is the number of log lines that a failing run prints.
const traceLines = 400

// stallTimeout is the time without progress of the simulated clock after which a run counts as stuck.
const stallTimeout = 2 * time.Minute

// trace is a log writer that keeps the newest lines.
type trace struct {
	lock  sync.Mutex
	lines []string
	// invariantLines holds all lines about broken invariants.
	invariantLines []string
	// decisions holds the newest lines about decisions and faults up to the first violation. In a long run later lines
	// would otherwise displace them.
	decisions []string
	// violationSeen states that a violation was recorded or an invariant broken.
	violationSeen bool
}

// logTrace receives the log of all daemons and of the fault injector.
var logTrace = &trace{}

func (trace *trace) Write(data []byte) (int, error) {
	trace.lock.Lock()
	defer trace.lock.Unlock()
	line := strings.TrimSpace(string(data))
	trace.lines = append(trace.lines, line)
	if strings.Contains(line, "InvariantBroken") {
		trace.invariantLines = append(trace.invariantLines, line)
		trace.violationSeen = true
	}
	if !trace.violationSeen && isDecision(line) {
		trace.decisions = newest(append(trace.decisions, line))
	}
	trace.lines = newest(trace.lines)
	return len(data), nil
}

// recordViolation keeps the decisions up to now from being displaced.
func (trace *trace) recordViolation() {
	trace.lock.Lock()
	defer trace.lock.Unlock()
	trace.violationSeen = true
}

// isDecision reports whether the line is about a decider, its orders or a fault.
func isDecision(line string) bool {
	return strings.Contains(line, "soak: ") || strings.Contains(line, "Fence=") || strings.Contains(line, "Order=")
}

// newest returns the last traceLines lines of a list.
func newest(lines []string) []string {
	return lines[max(0, len(lines)-traceLines):]
}

// simulatedTime returns the date and time of the newest line.
func (trace *trace) simulatedTime() string {
	trace.lock.Lock()
	defer trace.lock.Unlock()
	if len(trace.lines) == 0 {
		return ""
	}
	last := trace.lines[len(trace.lines)-1]
	return last[:min(len(last), len("I0101 00:00:00.000000"))]
}

// print writes all lines that were kept.
func (trace *trace) print(out io.Writer) {
	trace.lock.Lock()
	defer trace.lock.Unlock()
	for _, line := range slices.Concat(trace.decisions, trace.invariantLines, trace.lines) {
		fmt.Fprintln(out, line)
	}
}

func TestMain(m *testing.M) {
	logx.Disable()
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(logTrace)
	stopped := make(chan struct{})
	go watchClock(stopped)
	code := m.Run()
	close(stopped)
	klog.Flush()
	if code != 0 {
		logTrace.print(os.Stdout)
	}
	os.Exit(code)
}

// watchClock prints the trace and panics when the simulated clock makes no progress. The clock of a bubble stands still
// while any of its goroutines is busy, for example in an endless loop.
func watchClock(stopped <-chan struct{}) {
	last := ""
	for {
		select {
		case <-stopped:
			return
		case <-time.After(stallTimeout):
		}
		now := logTrace.simulatedTime()
		if now == last {
			logTrace.print(os.Stdout)
			panic("soak: the simulated clock makes no progress")
		}
		last = now
	}
}
