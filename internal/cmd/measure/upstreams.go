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

// The shape of one upstream.
const (
	replicasPerUpstream    = 4
	adaptersPerReplica     = 4
	checkpointsPerUpstream = 16
	// shapeEvery is the number of reports after which a replica or adapter changes: 7.3% of 1,900
	// models and 8,000 adapters an hour on 600 upstreams, three changes each, are 3.6 an hour.
	shapeEvery = 1000
	// pollEvery is the interval at which an upstream is asked for its state.
	pollEvery = time.Second
)

// reports makes the states of one upstream.
type reports struct {
	random *rand.Rand
	state  upstream.State
}

func newReports(number int) *reports {
	random := rand.New(rand.NewPCG(2, uint64(number)))
	state := upstream.State{
		Upstream: fmt.Sprintf("gpu-%04d", number), BootID: fmt.Sprintf("%016x", random.Uint64()),
		Role: upstream.Mixed, Capacity: 640 << 30, Fence: 17, Checkpoints: map[string]upstream.Tier{},
	}
	for place := range replicasPerUpstream {
		replica := upstream.Replica{
			Model: fmt.Sprintf("model-%04d", random.IntN(1900)), Version: "2026-09-01", Order: fmt.Sprintf("%016x-%d", random.Uint64(), place),
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
	return &reports{random: random, state: state}
}

// next returns the next state: new loads, and now and then another replica.
func (reports *reports) next() upstream.State {
	reports.state.Sequence++
	replicas := append([]upstream.Replica(nil), reports.state.Replicas...)
	for place := range replicas {
		replicas[place].Running = reports.random.IntN(32)
		replicas[place].Waiting = reports.random.IntN(4)
	}
	if reports.random.IntN(shapeEvery) == 0 {
		replicas[0].Order = fmt.Sprintf("%016x-0", reports.random.Uint64())
	}
	reports.state.Replicas = replicas
	return reports.state
}

// ownUpstreams returns the upstreams that a daemon asks.
func ownUpstreams(daemon int, scale scale) []*reports {
	first := daemon / scale.daemons * scale.upstreams
	var own []*reports
	for number := daemon % scale.daemons; number < scale.upstreams; number += scale.daemons {
		own = append(own, newReports(first+number))
	}
	return own
}

// tell brings the record of the node up to date, with new states each second.
func tell(ctx context.Context, node *peer.Node, own []*reports) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	var seen []peer.Observation
	for round := 0; ; round++ {
		if round%int(pollEvery/tellEvery) == 0 {
			seen = nil
			for _, reports := range own {
				seen = append(seen, peer.Observation{Seen: time.Now(), State: reports.next()})
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

// pollAll lets every daemon ask every upstream each second. Half of the
// processor time that it reports is the upstreams'.
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
		body, err := json.Marshal(newReports(number).next())
		if err != nil {
			return usage{}, err
		}
		handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(body) })
		server := serve(handler, &countedListener{listener, traffic})
		defer server.Close()
		addresses = append(addresses, "http://"+listener.Addr().String()+"/state")
	}
	for range scale.daemons {
		client := count(&http.Client{Transport: &http.Transport{}, Timeout: time.Second}, traffic)
		go poll(ctx, client, addresses)
	}
	return watch(traffic, scale.daemons, length), nil
}

// poll asks all addresses in each interval.
func poll(ctx context.Context, client *http.Client, addresses []string) {
	for ctx.Err() == nil {
		begin := time.Now()
		var group errgroup.Group
		group.SetLimit(4)
		for _, address := range addresses {
			group.Go(func() error { return ask(ctx, client, address) })
		}
		_ = group.Wait()
		time.Sleep(pollEvery - time.Since(begin))
	}
}

func ask(ctx context.Context, client *http.Client, address string) error {
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
