package peer

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"
	testingclock "k8s.io/utils/clock/testing"
)

// captureLog returns what receives the log lines until the end of the test.
func captureLog(t *testing.T) *bytes.Buffer {
	logged := &bytes.Buffer{}
	klog.LogToStderr(false)
	klog.SetOutput(logged)
	t.Cleanup(func() {
		klog.Flush()
		klog.LogToStderr(true)
	})
	return logged
}

// TestTwoProcessesOfOneNameLogOnce guards against a log line for each exchange while two live daemons, such as those of two builds, have
// one name, and each raises its incarnation above that of the other.
func TestTwoProcessesOfOneNameLogOnce(t *testing.T) {
	logged := captureLog(t)
	clk := testingclock.NewFakeClock(time.Unix(1000, 0))
	newNode := func(name, build string, incarnation uint64) *Node {
		settings := Settings{Name: name, Incarnation: incarnation, Build: build, Members: MembersFunc(func() []Member { return nil })}
		return NewNode(settings, clk, rand.New(rand.NewPCG(1, 2)))
	}
	older, newer, other := newNode("a", "older", 1), newNode("a", "newer", 2), newNode("b", "older", 1)
	exchange := func(node *Node) {
		response := other.handleRequest(node.newRequest(task{member: Member{Name: "b"}}))
		node.handleResponse(node.link("b"), response, clk.Now(), clk.Now())
	}
	const rounds = 200
	for range rounds {
		exchange(older)
		exchange(newer)
		clk.Step(100 * time.Millisecond)
	}
	klog.Flush()
	if lines := strings.Count(logged.String(), "PeerOutlived"); lines == 0 || lines > 2 {
		t.Errorf("%d lines about processes of one name in %d exchanges, want one for each", lines, 2*rounds)
	}
	if record, ok := other.Record("a"); !ok || record.Record.Build == "" || older.Self().Incarnation < 2 {
		t.Errorf("the record is %+v, %t", record, ok)
	}
}
