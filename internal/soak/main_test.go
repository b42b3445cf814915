package soak

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/zeromicro/go-zero/core/logx"
	"k8s.io/klog/v2"
)

// traceLines is the number of log lines that a failing run prints.
const traceLines = 400

// trace keeps the newest log lines of a run.
type trace struct {
	lock  sync.Mutex
	lines []string
}

var events = &trace{}

func (trace *trace) Write(part []byte) (int, error) {
	trace.lock.Lock()
	defer trace.lock.Unlock()
	trace.lines = append(trace.lines, strings.TrimSpace(string(part)))
	if excess := len(trace.lines) - traceLines; excess > 0 {
		trace.lines = trace.lines[excess:]
	}
	return len(part), nil
}

func (trace *trace) print(out io.Writer) {
	trace.lock.Lock()
	defer trace.lock.Unlock()
	for _, line := range trace.lines {
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
	klog.SetOutput(events)
	code := m.Run()
	klog.Flush()
	if code != 0 {
		events.print(os.Stdout)
	}
	os.Exit(code)
}
