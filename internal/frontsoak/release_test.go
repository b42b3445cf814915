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
	"syscall"
	"testing"
	"time"
)

const (
	// newEngineCount is the number of engines of the newer release.
	newEngineCount = 3
	// releaseGap is the time before each event: streams last long enough to be broken midway.
	releaseGap = 100 * time.Millisecond
	// releaseClients is the number of clients, and releaseDuration how long they begin streams.
	releaseClients  = 24
	releaseDuration = 9 * time.Second
	// takeUpDeadline is how long a client tries to complete a stream.
	takeUpDeadline = 6 * time.Second
	// takeUpPrefix begins the identifiers of requests for streams that clients take up.
	takeUpPrefix = "takeup-"
	// soakTakeUpClients is the number of clients that take streams up in a run with other faults, and soakLeaving the share of
	// streams that they leave, in percent.
	soakTakeUpClients = 4
	soakLeaving       = 30
	// restartTime is how long an engine is down that starts again with another release.
	restartTime = 300 * time.Millisecond
	// minTakenUp is the share of the streams taken up that must go on to their end.
	minTakenUp = 0.9
)

// releaseCase is one way in which streams are broken while two releases serve.
type releaseCase struct {
	name string
	// leaving is the share of streams whose clients leave in the middle, in percent.
	leaving int
	// inject breaks streams while clients run.
	inject func(testbed *testbed)
	// anyShare states that the release that began a stream may have no replica left.
	anyShare bool
}

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
	address := client.addresses[client.random.IntN(len(client.addresses))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathResume+"x", strings.NewReader("body of "+chain.name))
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

// startReleases adds engines of a newer release to the testbed.
func (testbed *testbed) startReleases(t *testing.T, stop <-chan struct{}) {
	for _, replica := range testbed.replicas {
		replica.gap = releaseGap
	}
	for number := range newEngineCount {
		next, err := newReplica(fmt.Sprintf("n-%d", number), engineService, fmt.Sprintf("z%d", number%2), testbed.checker, testbed.store)
		if err != nil {
			t.Fatal(err)
		}
		next.release, next.gap = "v2", releaseGap
		testbed.replicas = append(testbed.replicas, next)
		go next.heartbeat(stop)
	}
}

// repeat calls the function at the interval, count times, after one interval.
func repeat(count int, interval time.Duration, apply func(number int)) {
	for number := range count {
		time.Sleep(interval)
		apply(number)
	}
}

// retireOldRelease removes the rows of the engines of the older release, which go on with what they run.
func (testbed *testbed) retireOldRelease() {
	for _, replica := range testbed.replicas {
		if replica.service == engineService && replica.release == "v1" {
			replica.withLock(func() { replica.unlisted = true })
			testbed.store.put("servers", replica.id, nil)
		}
	}
}

var releaseCases = []releaseCase{
	{name: "clients leave", leaving: 40, inject: func(*testbed) {}},
	{name: "engines break streams off", inject: func(testbed *testbed) {
		repeat(16, 500*time.Millisecond, func(number int) {
			replica := testbed.replicas[number%engineCount]
			replica.withLock(func() { replica.brokenResponses = 3 })
		})
	}},
	{name: "one daemon is killed after the other", inject: func(testbed *testbed) {
		repeat(4, 2*time.Second, func(number int) { testbed.fronts[number%len(testbed.fronts)].signal(syscall.SIGKILL) })
	}},
	{name: "all daemons are killed", inject: func(testbed *testbed) {
		repeat(2, 4*time.Second, func(int) { testbed.signalAll(syscall.SIGKILL) })
	}},
	{name: "all daemons are killed after the old release left", anyShare: true, inject: func(testbed *testbed) {
		time.Sleep(4 * time.Second)
		testbed.retireOldRelease()
		time.Sleep(400 * time.Millisecond)
		testbed.signalAll(syscall.SIGKILL)
	}},
}

// TestStreamsHaveEventsOfOneRelease guards against issue 42: streams that were taken up, at any daemon or within one answer,
// went on at an engine of another software version than the one that began them.
func TestStreamsHaveEventsOfOneRelease(t *testing.T) {
	binary := build(t)
	for index, c := range releaseCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			seed := 5200 + uint64(index)
			testbed, stopDaemons := startTestbed(t, folder, binary, seed)
			stop := make(chan struct{})
			testbed.startReleases(t, stop)
			time.Sleep(3 * time.Second)
			chains := testbed.runReleaseCase(c, seed)
			stopDaemons()
			close(stop)
			checkReleases(t, c, chains)
			if t.Failed() {
				saveLogs(t, folder, seed)
			}
		})
	}
}

// runReleaseCase runs the clients of one case and returns their streams.
func (testbed *testbed) runReleaseCase(c releaseCase, seed uint64) []*chain {
	ctx, cancel := context.WithTimeout(context.Background(), releaseDuration)
	defer cancel()
	var mutex sync.Mutex
	var chains []*chain
	var clients sync.WaitGroup
	for number := range releaseClients {
		client := &streamClient{
			name: fmt.Sprint("r", number), addresses: testbed.addresses(), leaving: c.leaving, models: 1,
			http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, random: rand.New(rand.NewPCG(seed, uint64(number))),
		}
		clients.Go(func() {
			began := client.run(ctx)
			mutex.Lock()
			defer mutex.Unlock()
			chains = append(chains, began...)
		})
	}
	c.inject(testbed)
	clients.Wait()
	return chains
}

// checkReleases checks that no stream has events of two releases, and that enough of those taken up went on.
func checkReleases(t *testing.T, c releaseCase, chains []*chain) {
	joined, takenUp, wentOn := 0, 0, 0
	for _, chain := range chains {
		if len(chain.releases) > 1 {
			joined++
		}
		if chain.takenUp {
			takenUp++
			if chain.complete {
				wentOn++
			}
		}
	}
	t.Logf("%d streams, %d taken up, %d of these went on, %d have events of two releases", len(chains), takenUp, wentOn, joined)
	if joined > 0 {
		t.Errorf("%d of %d streams have events of two releases", joined, len(chains))
	}
	if share := float64(wentOn) / float64(max(takenUp, 1)); takenUp > 0 && share < minTakenUp && !c.anyShare {
		t.Errorf("%.2f of %d streams that were taken up went on", share, takenUp)
	}
}

// startTakeUps starts clients that take streams up until the context ends, and returns a function that waits for them and returns
// their streams. Engines of two releases serve, and some have another one after a restart.
func (testbed *testbed) startTakeUps(ctx context.Context, seed uint64) func() []*chain {
	random := rand.New(rand.NewPCG(seed, 11))
	var mutex sync.Mutex
	var chains []*chain
	var clients sync.WaitGroup
	for number := range soakTakeUpClients {
		client := &streamClient{
			name: fmt.Sprint("s", number), addresses: testbed.addresses(), leaving: soakLeaving, models: modelCount,
			http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, random: rand.New(rand.NewPCG(seed, 20+uint64(number))),
		}
		clients.Go(func() {
			began := client.run(ctx)
			mutex.Lock()
			defer mutex.Unlock()
			chains = append(chains, began...)
		})
	}
	for _, replica := range testbed.replicas[:engineCount] {
		next := fmt.Sprint("v", 1+random.IntN(3))
		replica.withLock(func() { replica.nextRelease = next })
	}
	testbed.replicas[0].withLock(func() { testbed.replicas[0].nextRelease = "v2" })
	testbed.replicas[0].crash(restartTime)
	return func() []*chain {
		clients.Wait()
		return chains
	}
}
