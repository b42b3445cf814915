package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/origin"
)

const (
	// originGatherTime is how long a lookup waits for further streams to look up with it.
	originGatherTime = 5 * time.Millisecond
	// originLookupTimeout bounds one lookup, and originWait the time for which a request waits for lookups.
	originLookupTimeout = 300 * time.Millisecond
	originWait          = 2 * originLookupTimeout
	// maxOriginPeers is the largest number of daemons that one lookup asks, and originCallsAtOnce how many of them at once.
	maxOriginPeers    = 64
	originCallsAtOnce = 16
	// originConfirmers is the number of daemons that one lookup asks to read the table of replicas.
	originConfirmers = 2
)

// originFinder looks up the origins of streams at other daemons and in the store. Streams that are looked up at about the
// same time share one lookup, and there is one at a time, so that requests with invented IDs cost no more calls than others.
type originFinder struct {
	daemon *Daemon
	// turn has room for one lookup.
	turn chan struct{}

	mutex sync.Mutex
	// gathering is the next lookup; nil if there is none yet.
	gathering *originLookup
}

func newOriginFinder(daemon *Daemon) *originFinder {
	return &originFinder{daemon: daemon, turn: make(chan struct{}, 1)}
}

// originLookup is the lookup of some streams. attempts and confirm are fixed once it runs.
type originLookup struct {
	attempts map[string]bool
	done     chan struct{}

	mutex sync.Mutex
	// sources maps the attempts that were found to the first source.
	sources map[string]origin.Source
	// confirm states that daemons are asked to read the table of replicas, and confirmed that one did and knows all releases.
	confirm, confirmed bool
}

// ask looks up the origin of the stream that the attempt began, as origin.Sources describes.
func (finder *originFinder) ask(ctx context.Context, id string, confirm bool) (origin.Source, bool) {
	if len(id) > origin.MaxIDBytes {
		return "", false
	}
	lookup, ok := finder.join(id, confirm)
	if !ok {
		return "", false
	}
	timer := finder.daemon.clock.NewTimer(originWait)
	defer timer.Stop()
	select {
	case <-lookup.done:
		return lookup.result(id)
	case <-timer.C():
	case <-ctx.Done():
	}
	return "", false
}

// result returns the first source of the attempt, and whether all releases are known.
func (lookup *originLookup) result(id string) (origin.Source, bool) {
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	return lookup.sources[id], lookup.confirmed
}

// join adds the attempt to the next lookup, and reports whether there was room.
func (finder *originFinder) join(id string, confirm bool) (*originLookup, bool) {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	if finder.gathering == nil {
		finder.gathering = &originLookup{attempts: map[string]bool{}, done: make(chan struct{}), sources: map[string]origin.Source{}}
		go finder.run(finder.gathering)
	}
	lookup := finder.gathering
	if len(lookup.attempts) >= mesh.MaxOriginQuery && !lookup.attempts[id] {
		return nil, false
	}
	lookup.attempts[id] = true
	lookup.confirm = lookup.confirm || confirm
	return lookup, true
}

// run makes the lookup in its turn.
func (finder *originFinder) run(lookup *originLookup) {
	defer close(lookup.done)
	finder.turn <- struct{}{}
	defer func() { <-finder.turn }()
	finder.daemon.clock.Sleep(originGatherTime)
	finder.mutex.Lock()
	finder.gathering = nil
	finder.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), originLookupTimeout)
	defer cancel()
	var both sync.WaitGroup
	both.Go(func() { finder.askPeers(ctx, lookup) })
	both.Go(func() { finder.readStore(ctx, lookup) })
	both.Wait()
}

// askPeers asks other daemons at random.
func (finder *originFinder) askPeers(ctx context.Context, lookup *originLookup) {
	attempts := make([]string, 0, len(lookup.attempts))
	for id := range lookup.attempts {
		attempts = append(attempts, id)
	}
	group := errgroup.Group{}
	group.SetLimit(originCallsAtOnce)
	for index, peer := range orderPeers(finder.daemon.mesh.Live()) {
		query := mesh.OriginQuery{Attempts: attempts, Confirm: lookup.confirm && index < originConfirmers}
		group.Go(func() error {
			// A daemon that does not respond knows nothing of the streams.
			if answer, err := finder.daemon.mesh.FindOrigins(ctx, peer.Address, query); err == nil {
				finder.learn(lookup, answer, origin.Daemon)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// orderPeers returns at most maxOriginPeers of the daemons at random, but first those that the store answered last.
func orderPeers(peers []mesh.Peer) []mesh.Peer {
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	for first := range min(len(peers), originConfirmers) {
		for index := first + 1; index < len(peers); index++ {
			if peers[index].StoreAge < peers[first].StoreAge {
				peers[first], peers[index] = peers[index], peers[first]
			}
		}
	}
	return peers[:min(len(peers), maxOriginPeers)]
}

// readStore reads what is recorded in the store.
func (finder *originFinder) readStore(ctx context.Context, lookup *originLookup) {
	recorded, err := finder.daemon.readOrigins(ctx)
	if err != nil {
		return
	}
	var wanted []origin.Stream
	for _, stream := range recorded.Streams {
		if lookup.attempts[stream.ID] {
			wanted = append(wanted, stream)
		}
	}
	recorded.Streams = wanted
	finder.learn(lookup, recorded, origin.Store)
}

// learn records what a source answered.
func (finder *originFinder) learn(lookup *originLookup, answer mesh.OriginAnswer, source origin.Source) {
	now := finder.daemon.clock.Now()
	finder.daemon.origins.Learn(answer.Streams, now)
	finder.daemon.origins.LearnReleases(answer.Lately, now)
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	lookup.confirmed = lookup.confirmed || answer.Confirmed
	for _, stream := range answer.Streams {
		if lookup.sources[stream.ID] == "" {
			lookup.sources[stream.ID] = source
		}
	}
}

// readOrigins reads all recorded origins from the store. The answer is not complete: it lacks the releases that serve.
func (daemon *Daemon) readOrigins(ctx context.Context) (mesh.OriginAnswer, error) {
	rows, _, err := daemon.store.Snapshot(ctx, originTable)
	if err != nil {
		return mesh.OriginAnswer{}, err
	}
	answer := mesh.OriginAnswer{Lately: origin.Sightings{}}
	for _, row := range rows {
		daemon.originRows.track(row.Row, row.Version, daemon.clock.Now())
		page, err := decodeOriginPage(row.Value)
		if err != nil {
			event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version.String())
			continue
		}
		answer.Streams = append(answer.Streams, page.streams()...)
		for service, releases := range page.Releases {
			for _, release := range releases {
				answer.Lately.Add(service, release, 0)
			}
		}
	}
	return answer, nil
}

// loadOrigins reads the recorded origins when the daemon starts, and whenever rows of replicas may have come and gone unseen.
func (daemon *Daemon) loadOrigins(ctx context.Context) error {
	for ctx.Err() == nil {
		if !daemon.origins.IsComplete() && !daemon.loadOriginsOnce(ctx) {
			daemon.sleep(ctx, minRetryPause)
			continue
		}
		select {
		case <-daemon.origins.Lacking():
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// loadOriginsOnce reads the recorded origins, or else asks other daemons which releases serve, and reports whether the registry is
// complete.
func (daemon *Daemon) loadOriginsOnce(ctx context.Context) bool {
	gaps := daemon.origins.Gaps()
	if answer, err := daemon.readOrigins(ctx); err == nil && daemon.readInventory(ctx) == nil {
		return daemon.completeOrigins(answer, "Store", gaps)
	}
	for _, peer := range daemon.mesh.Live() {
		if answer, err := daemon.mesh.FindOrigins(ctx, peer.Address, mesh.OriginQuery{}); err == nil && answer.Complete {
			return daemon.completeOrigins(answer, peer.Name, gaps)
		}
	}
	return false
}

// completeOrigins applies an answer that names all releases of lately, which was asked for after so many gaps.
func (daemon *Daemon) completeOrigins(answer mesh.OriginAnswer, source string, gaps int) bool {
	now := daemon.clock.Now()
	daemon.origins.Learn(answer.Streams, now)
	daemon.origins.LearnReleases(answer.Lately, now)
	event.OriginsRead.Log("Source", source, "Streams", len(answer.Streams), "Releases", answer.Lately)
	return daemon.origins.CompleteAt(gaps)
}
