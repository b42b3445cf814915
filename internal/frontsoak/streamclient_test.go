package frontsoak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// chain is one stream of a client over all its tries.
type chain struct {
	// releases lists the releases that sent events.
	releases map[string]bool
	// takenUp states that the client tried to go on with it, and complete that all events arrived.
	takenUp, complete bool
	name, model       string
	last              int
}

// streamClient begins streams, and takes those that break off up at other daemons.
type streamClient struct {
	name      string
	addresses []string
	// takesUpAt is the only daemon at which the client takes streams up, and does not begin any; empty means any of addresses.
	takesUpAt string
	leaving   int
	// models is the number of models that the client asks for.
	models int
	http   *http.Client
	random *rand.Rand
	count  int
}

// run begins streams until the context ends, and returns them.
func (client *streamClient) run(ctx context.Context) []*chain {
	var chains []*chain
	for ctx.Err() == nil {
		chains = append(chains, client.stream())
		time.Sleep(time.Duration(client.random.IntN(100)) * time.Millisecond)
	}
	return chains
}

// stream begins a stream and tries to complete it at one daemon after the other.
func (client *streamClient) stream() *chain {
	chain := &chain{releases: map[string]bool{}, name: fmt.Sprint(client.name, "-", client.count), model: fmt.Sprint("m", client.random.IntN(client.models))}
	ctx, cancel := context.WithTimeout(context.Background(), takeUpDeadline)
	defer cancel()
	first := ""
	for ctx.Err() == nil && !chain.complete {
		client.count++
		id := fmt.Sprintf("%s%s-%d", takeUpPrefix, client.name, client.count)
		leaveAfter := streamEvents
		if chain.last == 0 && client.random.IntN(100) < client.leaving {
			leaveAfter = 2 + client.random.IntN(streamEvents/2)
		}
		chain.takenUp = chain.takenUp || first != ""
		pause := client.attempt(ctx, id, first, leaveAfter, chain)
		if first == "" && chain.last > 0 {
			first = id
		}
		time.Sleep(min(pause, takeUpDeadline/3))
	}
	return chain
}

// attempt sends one request, adds the events that arrive to the chain, and returns how long the client waits before the next.
func (client *streamClient) attempt(ctx context.Context, id, first string, leaveAfter int, chain *chain) time.Duration {
	const pause = 30 * time.Millisecond
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.address(first != "")+pathResume+"x", strings.NewReader("body of "+chain.name))
	if err != nil {
		return pause
	}
	request.Host = "h.example"
	for name, value := range map[string]string{"Bronzestall-Request-Id": id, "Bronzestall-Deadline-Ms": "4000", "Bronzestall-Model": chain.model, "Bronzestall-Token-Usage": "100,36"} {
		request.Header.Set(name, value)
	}
	if first != "" {
		request.Header.Set("Resumes", first)
		request.Header.Set("Last-Event-Id", strconv.Itoa(chain.last))
	}
	response, err := client.http.Do(request)
	if err != nil {
		return pause
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return max(pause, time.Duration(after*float64(time.Second)))
	}
	chain.read(bufio.NewReader(response.Body), leaveAfter)
	return pause
}

// address returns the address of the daemon for the next request, which begins a stream or takes one up.
func (client *streamClient) address(takesUp bool) string {
	if takesUp && client.takesUpAt != "" {
		return client.takesUpAt
	}
	for {
		address := client.addresses[client.random.IntN(len(client.addresses))]
		if address != client.takesUpAt {
			return address
		}
	}
}

// read adds the events of a response until it ends or the event numbered leaveAfter has arrived.
func (chain *chain) read(reader *bufio.Reader, leaveAfter int) {
	number := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if text, found := strings.CutPrefix(line, "id: "); found {
			number, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if text, found := strings.CutPrefix(line, "data: "); found && number > chain.last {
			chain.releases[strings.TrimSpace(text)] = true
			chain.last = number
			chain.complete = number == streamEvents
			if number >= leaveAfter {
				return
			}
		}
	}
}

// startStreamClients starts clients like the given one, each with a name and a random source of its own, and returns a function that
// waits for them after the context has ended and returns their streams.
func (testbed *testbed) startStreamClients(ctx context.Context, count int, like streamClient, seed, firstSource uint64) func() []*chain {
	var mutex sync.Mutex
	var chains []*chain
	var clients sync.WaitGroup
	for number := range count {
		client := like
		client.name = fmt.Sprint(like.name, number)
		client.addresses = testbed.addresses()
		client.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		client.random = rand.New(rand.NewPCG(seed, firstSource+uint64(number)))
		clients.Go(func() {
			began := client.run(ctx)
			mutex.Lock()
			defer mutex.Unlock()
			chains = append(chains, began...)
		})
	}
	return func() []*chain {
		clients.Wait()
		return chains
	}
}
