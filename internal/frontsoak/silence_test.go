package frontsoak

import (
	"context"
	"fmt"
	"testing"
	"time"
)

const (
	// silence is how long a sound replica says nothing in the test, and silenceInterval the time between the beginnings of silences.
	silence         = 1600 * time.Millisecond
	silenceInterval = 3 * time.Second
	// silenceClients is the number of clients, silenceStreams that of clients which only send streams that may be resumed, and
	// silenceDuration how long they send.
	silenceClients = 16
	silenceStreams = 120
	// silenceGap is the time before each event.
	silenceGap      = 70 * time.Millisecond
	silenceDuration = 12 * time.Second
	// configurationInterval is the time between two configurations.
	configurationInterval = 400 * time.Millisecond
)

// silenceCases are the ways in which replicas fall silent. Each returns the replicas of the numbered silence.
var silenceCases = []struct {
	name   string
	silent func(testbed *testbed, number int) []*replica
}{
	{"no replica", func(*testbed, int) []*replica { return nil }},
	{"one replica after the other", func(testbed *testbed, number int) []*replica {
		return testbed.replicas[number%len(testbed.replicas):][:1]
	}},
	{"half of the engines", func(testbed *testbed, number int) []*replica {
		return testbed.replicas[number%2*engineCount/2:][:engineCount/2]
	}},
	{"all replicas", func(testbed *testbed, _ int) []*replica { return testbed.replicas }},
}

// TestSilentReplicasCostNoAnswer guards against issue 47: beside changes of the configuration, requests that were read whole got
// neither an answer nor a refusal when sound replicas said nothing for a second or so and went on.
func TestSilentReplicasCostNoAnswer(t *testing.T) {
	binary := build(t)
	for index, c := range silenceCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := 5700 + uint64(index)
			testbed, stop := newServingTestbed(t, binary, seed, 3*time.Second)
			for _, replica := range testbed.replicas[:engineCount] {
				replica.withLock(func() { replica.gap = silenceGap })
			}
			testbed.serveBesideSilences(seed, func(number int) []*replica { return c.silent(testbed, number) })
			stop()
			outcomes := testbed.checker.outcomes
			t.Logf("outcomes %v", outcomes)
			if cut := outcomes[cutOutcome]; cut > 0 {
				t.Errorf("%d requests got neither a whole answer nor a refusal", cut)
			}
			for _, violation := range testbed.checker.finish() {
				t.Error(violation)
			}
		})
	}
}

// serveBesideSilences sends requests of all kinds while configurations change and replicas fall silent.
func (testbed *testbed) serveBesideSilences(seed uint64, silent func(number int) []*replica) {
	ctx, cancel := context.WithTimeout(context.Background(), silenceDuration)
	defer cancel()
	done := make(chan struct{}, silenceClients+silenceStreams)
	for number := range silenceClients + silenceStreams {
		client := newClient(fmt.Sprint("q", number), testbed.checker, seed*1000+uint64(number), testbed.addresses())
		client.model = "m0"
		go func() {
			defer func() { done <- struct{}{} }()
			if number < silenceClients {
				client.runUntil(ctx, nil)
				return
			}
			client.runUntil(ctx, []string{pathResume})
		}()
	}
	go repeat(int(silenceDuration/configurationInterval), configurationInterval, func(int) { testbed.configure() })
	go repeat(int((silenceDuration-silence)/silenceInterval), silenceInterval, func(number int) {
		for _, replica := range silent(number) {
			time.AfterFunc(silence, replica.proxy.begin(proxyFault{stalls: true}))
		}
	})
	for range cap(done) {
		<-done
	}
}

// runUntil sends requests of the kinds, all if there are none, until the context ends, and completes the last one.
func (client *client) runUntil(ctx context.Context, kinds []string) {
	if kinds == nil {
		kinds = []string{pathCall, pathLookup, pathStream, pathResume}
	}
	for ctx.Err() == nil {
		client.send(context.Background(), kinds[client.random.IntN(len(kinds))], client.addresses[client.random.IntN(len(client.addresses))])
		time.Sleep(time.Duration(client.random.IntN(40)) * time.Millisecond)
	}
}
