package front

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/origin"
)

func TestOriginPageRoundTrip(t *testing.T) {
	streams := []origin.Stream{
		{Origin: origin.Origin{Service: "s", Release: "v1"}, ID: "a"},
		{Origin: origin.Origin{Service: "s", Release: "v1"}, ID: "c"},
		{Origin: origin.Origin{Service: "s", Release: "v2"}, ID: "b"},
	}
	lately := origin.Releases{"s": {"v1", "v2"}, "many": make([]string, 100)}
	value, err := json.Marshal(newOriginPage(origin.Page{Number: 1, Streams: streams}, lately))
	if err != nil {
		t.Fatal(err)
	}
	page, err := decodeOriginPage(value)
	if err != nil || !slices.Equal(page.streams(), streams) {
		t.Errorf("decoded %v, %v", page.streams(), err)
	}
	if !slices.Equal(page.Releases["s"], lately["s"]) || len(page.Releases["many"]) != maxRowReleases {
		t.Errorf("decoded the releases %v", page.Releases)
	}
}

// FuzzOriginPage checks that rows of other writers end no daemon.
func FuzzOriginPage(f *testing.F) {
	f.Add([]byte(`{"Releases":{"s":["v1"]},"Groups":[{"Service":"s","Release":"v1","Attempts":["a"]}]}`))
	f.Add([]byte(`{"Releases":{"s":null},"Groups":[{}]}`))
	f.Add([]byte(strings.Repeat("[", 20000)))
	f.Fuzz(func(_ *testing.T, value []byte) {
		if page, err := decodeOriginPage(value); err == nil {
			origin.New().Learn(page.streams(), time.Unix(1, 0))
			origin.New().LearnReleases(page.Releases, time.Unix(1, 0))
		}
	})
}

// TestRecorderWritesAgainAfterAFailure covers a store that does not answer: the streams are written once it does.
func TestRecorderWritesAgainAfterAFailure(t *testing.T) {
	store := &fakeStore{rows: map[datastore.Key]datastore.Row{}, failures: []error{datastore.ErrUnavailable}}
	daemon := newDaemonWithCrashes(store)
	recorder := daemon.originRecorder
	recorder.process = "p"
	daemon.origins.SetServing(origin.Releases{"s": {"v1", "v2"}}, daemon.clock.Now())
	daemon.origins.Begin(origin.Stream{Origin: origin.Origin{Service: "s", Release: "v1"}, ID: "a"}, daemon.clock.Now())
	for attempt, want := range []int{0, 1, 1} {
		recorder.take()
		recorder.write(t.Context())
		if len(store.rows) != want {
			t.Errorf("after write %d there are %d rows", attempt, len(store.rows))
		}
	}
	page, err := decodeOriginPage(store.rows[originKey("a", "p", 0)].Value)
	if streams := page.streams(); err != nil || len(streams) != 1 || streams[0].ID != "a" {
		t.Errorf("the row has %v, %v", streams, err)
	}
}
