package release

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/note"
)

// notesPerDay is the expected number of notes per day in two years.
const notesPerDay = 880

// noteInterval is the time between two notes. It is shorter than in production to shorten the test.
const noteInterval = 20 * time.Second

// followCase is one configuration of daemons that follow the number in force.
type followCase struct {
	name    string
	daemons int
	// shared makes the poll interval grow with the number of daemons.
	shared bool
	// announcing makes the 72 daemons of a data centre announce new numbers to each other within 1 s.
	announcing bool
	notes      int
	// maxReads is the limit of row reads per second, and maxLag that of the time until a note is in force on all
	// daemons.
	maxReads float64
	maxLag   time.Duration
}

// measurements holds the measured cost of following.
type measurements struct {
	lags []time.Duration
	// counts are the calls of the followers, and operator those of the operator.
	counts, operator platformfake.Counts
	duration         time.Duration
	peerBytes        atomic.Int64
}

// TestFollowingAtScale measures the load on the platform, and the lag of notes, for up to 360 daemons.
func TestFollowingAtScale(t *testing.T) {
	for _, test := range []followCase{
		{name: "4 daemons, each polls every second", daemons: 4, notes: 20, maxReads: 5, maxLag: 2 * time.Second},
		{name: "360 daemons, each polls every second", daemons: 360, notes: 2, maxReads: 400, maxLag: 2 * time.Second},
		{name: "360 daemons, 100 reads per second in all", daemons: 360, shared: true, notes: 5, maxReads: 120, maxLag: 6 * time.Second},
		{name: "360 daemons, 100 reads per second in all, announcements", daemons: 360, shared: true, announcing: true, notes: 5, maxReads: 120, maxLag: 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			if testing.Short() && test.daemons > 4 {
				t.Skip("slow")
			}
			synctest.Test(t, func(t *testing.T) { test.measure(t) })
		})
	}
}

// measure accepts the notes one by one and measures lag, reads and bytes.
func (test followCase) measure(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fake := newPlatform(7)
	fake.SetDelay(2*time.Millisecond, 10*time.Millisecond)
	client := fake.Client()
	operator := ledgerOn(client)
	if _, err := operator.Accept(ctx, firstNote(190, 800), "operator"); err != nil {
		t.Fatal(err)
	}
	result := &measurements{}
	followers := test.start(ctx, fake, result)
	advanceTime(20 * time.Second)
	before, operatorBefore, begin := fake.Counts(), client.Counts(), time.Now()
	for i := range test.notes {
		time.Sleep(noteInterval)
		if _, err := operator.Accept(ctx, typicalNote(i), "operator"); err != nil {
			t.Fatal(err)
		}
		result.lags = append(result.lags, waitForAll(followers, uint64(i)+2))
	}
	result.operator = client.Counts().Sub(operatorBefore)
	result.counts, result.duration = fake.Counts().Sub(before).Sub(result.operator), time.Since(begin)
	test.report(t, result)
	cancel()
	advanceTime(10 * time.Second)
}

// start starts the followers, in data centres of at most 72.
func (test followCase) start(ctx context.Context, fake *platformfake.Platform, result *measurements) []*Follower {
	settings := FollowerSettings{}
	if test.shared {
		settings.Daemons = func() int { return test.daemons }
	}
	followers := make([]*Follower, test.daemons)
	for i := range followers {
		client := fake.Client()
		followers[i] = NewFollower(client, client, clock.RealClock{}, rand.New(rand.NewPCG(7, uint64(i))), settings)
		go func() {
			time.Sleep(time.Duration(i) * 10 * time.Second / time.Duration(test.daemons))
			_ = followers[i].Run(ctx)
		}()
	}
	for at := 0; test.announcing && at < len(followers); at += 72 {
		announceToPeers(ctx, followers[at:min(at+72, len(followers))], result)
	}
	return followers
}

// announceToPeers makes each follower offer a new number to the others after a random delay of up to 1 s.
func announceToPeers(ctx context.Context, followers []*Follower, result *measurements) {
	for i, announcer := range followers {
		random := rand.New(rand.NewPCG(8, uint64(i)))
		source := &sourceFunc{func(ctx context.Context, number uint64) (Update, error) {
			update, err := announcer.Since(ctx, number)
			content, _ := json.Marshal(update)
			result.peerBytes.Add(int64(len(content)))
			return update, err
		}}
		go func() {
			for ctx.Err() == nil {
				changed := announcer.Changed()
				inForce, _ := announcer.InForce()
				time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
				for _, other := range followers {
					other.Offer(inForce.Number, source)
				}
				select {
				case <-changed:
				case <-ctx.Done():
				}
			}
		}()
	}
}

// waitForAll returns the time until every follower has the number.
func waitForAll(followers []*Follower, number uint64) time.Duration {
	begin := time.Now()
	var waiting sync.WaitGroup
	for _, follower := range followers {
		waiting.Go(func() {
			for {
				changed := follower.Changed()
				if inForce, _ := follower.InForce(); inForce.Number >= number {
					return
				}
				<-changed
			}
		})
	}
	waiting.Wait()
	return time.Since(begin)
}

// report logs the measurements and checks them against the limits.
func (test followCase) report(t *testing.T, result *measurements) {
	seconds := result.duration.Seconds()
	slices.Sort(result.lags)
	median, longest := result.lags[len(result.lags)/2], result.lags[len(result.lags)-1]
	perDaemon := float64(result.counts.GetBytes) / float64(test.daemons*test.notes)
	perPeer := float64(result.peerBytes.Load()) / float64(test.daemons*test.notes)
	reads := float64(result.counts.Reads) / seconds
	t.Logf("row reads %.1f/s, object reads %.2f per daemon and note, in force on all daemons after p50 %v max %v", reads,
		float64(result.counts.Gets)/float64(test.daemons*test.notes), median.Round(time.Millisecond), longest.Round(time.Millisecond))
	t.Logf("bytes per daemon and note: %.0f from the object store, %.0f from peers; at %d notes per day %.2f bytes/s",
		perDaemon, perPeer, notesPerDay, (perDaemon+perPeer)*notesPerDay/86_400)
	t.Logf("calls of the operator: %+v for %d notes", result.operator, test.notes)
	if reads > test.maxReads || longest > test.maxLag {
		t.Errorf("%.1f reads per second and lag %v, want at most %.0f and %v", reads, longest, test.maxReads, test.maxLag)
	}
}

// firstNote returns a note that adds the models and adapters.
func firstNote(models, adapters int) note.Note {
	first := note.Note{Note: "first", Summary: "everything"}
	for i := range models {
		model := catalogue.Model{Name: fmt.Sprintf("model-%04d", i), Version: "1", Weights: 26 << 30, AdapterSlots: 8, AdapterBytes: 256 << 20}
		first.Models.Added = append(first.Models.Added, model)
	}
	for i := range adapters {
		adapter := catalogue.Adapter{Model: fmt.Sprintf("model-%04d", i%models), Name: fmt.Sprintf("adapter-%04d", i), Version: "1"}
		first.Adapters.Added = append(first.Adapters.Added, adapter)
	}
	return first
}

// typicalNote returns a note that changes one model and four adapters.
func typicalNote(i int) note.Note {
	changed := note.Note{Note: fmt.Sprintf("note-%d", i), Base: uint64(i) + 1, Summary: "a new version of one model and four adapters"}
	version := fmt.Sprint(i + 2)
	changed.Models.Changed = []catalogue.Model{
		{Name: "model-0007", Version: version, Weights: 26 << 30, AdapterSlots: 8, AdapterBytes: 256 << 20},
	}
	for j := range 4 {
		adapter := catalogue.Adapter{Model: fmt.Sprintf("model-%04d", j), Name: fmt.Sprintf("adapter-%04d", j), Version: version}
		changed.Adapters.Changed = append(changed.Adapters.Changed, adapter)
	}
	return changed
}
