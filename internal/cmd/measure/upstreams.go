package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/upstream"
)

// The size of one upstream and the rate at which it changes.
const (
	replicasPerUpstream    = 4
	adaptersPerReplica     = 4
	checkpointsPerUpstream = 16
	// reportsPerChange is the mean number of states after which a replica or adapter changes: 7.3% of 1,900
	// models and 8,000 adapters an hour on 600 upstreams, three changes each, are 3.6 an hour.
	reportsPerChange = 1000
	// pollInterval is the interval at which the state of an upstream is polled.
	pollInterval = time.Second
)

// stateGenerator generates the successive states of one upstream.
type stateGenerator struct {
	random *rand.Rand
	state  upstream.State
}

func newStateGenerator(number int) *stateGenerator {
	random := rand.New(rand.NewPCG(2, uint64(number)))
	state := upstream.State{
		Upstream: fmt.Sprintf("gpu-%04d", number), BootID: fmt.Sprintf("%016x", random.Uint64()),
		Role: upstream.Mixed, Capacity: 640 << 30, Fence: 17, Checkpoints: map[string]upstream.Tier{},
	}
	for index := range replicasPerUpstream {
		replica := upstream.Replica{
			Model: fmt.Sprintf("model-%04d", random.IntN(1900)), Version: "2026-09-01", Order: fmt.Sprintf("%016x-%d", random.Uint64(), index),
			Phase: upstream.Ready, Memory: 60 << 30,
		}
		for range adaptersPerReplica {
			replica.Adapters = append(replica.Adapters, fmt.Sprintf("adapter-%04d", random.IntN(8000)))
		}
		state.Replicas = append(state.Replicas, replica)
	}
	for range checkpointsPerUpstream {
		model := fmt.Sprintf("model-%04d", random.IntN(1900))
		state.Checkpoints[upstream.CheckpointKey(model, "2026-09-01")] = upstream.Disk
	}
	return &stateGenerator{random: random, state: state}
}

// next returns the next state: new loads each time, and at random a changed replica.
func (stateGenerator *stateGenerator) next() upstream.State {
	stateGenerator.state.Sequence++
	replicas := append([]upstream.Replica(nil), stateGenerator.state.Replicas...)
	for index := range replicas {
		replicas[index].Running = stateGenerator.random.IntN(32)
		replicas[index].Waiting = stateGenerator.random.IntN(4)
	}
	if stateGenerator.random.IntN(reportsPerChange) == 0 {
		replicas[0].Order = fmt.Sprintf("%016x-0", stateGenerator.random.Uint64())
	}
	stateGenerator.state.Replicas = replicas
	return stateGenerator.state
}

// ownUpstreams returns the generators of the upstreams that a daemon polls.
func ownUpstreams(daemon int, scale scale) []*stateGenerator {
	first := daemon / scale.daemons * scale.upstreams
	var own []*stateGenerator
	for number := daemon % scale.daemons; number < scale.upstreams; number += scale.daemons {
		own = append(own, newStateGenerator(first+number))
	}
	return own
}

// updateRecord updates the record of the node in each interval, with new upstream states each second.
func updateRecord(ctx context.Context, node *peer.Node, own []*stateGenerator) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	var seen []peer.Observation
	for round := 0; ; round++ {
		if round%int(pollInterval/updateInterval) == 0 {
			seen = nil
			for _, stateGenerator := range own {
				seen = append(seen, peer.Observation{Seen: time.Now(), State: stateGenerator.next()})
			}
		}
		node.Update(func(record peer.Record) peer.Record {
			record.Running = round % 100
			record.Observations = seen
			return record
		})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollAll measures daemons that each poll every upstream each second. About half
// of the reported processor time is used by the upstreams.
func pollAll(scale scale, length time.Duration) (usage, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	traffic := &traffic{}
	var addresses []string
	for number := range scale.upstreams {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return usage{}, err
		}
		body, err := json.Marshal(newStateGenerator(number).next())
		if err != nil {
			return usage{}, err
		}
		handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(body) })
		server := serve(handler, &countedListener{listener, traffic})
		defer server.Close()
		addresses = append(addresses, "http://"+listener.Addr().String()+"/state")
	}
	for range scale.daemons {
		client := countTraffic(&http.Client{Transport: &http.Transport{}, Timeout: time.Second}, traffic)
		go poll(ctx, client, addresses)
	}
	return measureUsage(traffic, scale.daemons, length), nil
}

// poll fetches the state from every address in each interval.
func poll(ctx context.Context, client *http.Client, addresses []string) {
	for ctx.Err() == nil {
		begin := time.Now()
		var group errgroup.Group
		group.SetLimit(4)
		for _, address := range addresses {
			group.Go(func() error { return fetchState(ctx, client, address) })
		}
		_ = group.Wait()
		time.Sleep(pollInterval - time.Since(begin))
	}
}

func fetchState(ctx context.Context, client *http.Client, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var state upstream.State
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
