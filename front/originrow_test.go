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
			origin.New().LearnReleases(page.Releases.Sightings(), time.Unix(1, 0))
		}
	})
}

// TestRecorderWritesAgainAfterAFailure covers a store that does not answer, or answers nothing though it wrote: the streams are in
// the row in the end, and rows are written only as they are known.
func TestRecorderWritesAgainAfterAFailure(t *testing.T) {
	for name, failures := range map[string][]error{
		"no failure":        nil,
		"store unavailable": {datastore.ErrUnavailable},
		"response lost":     {datastore.ErrUnclear},
		"conflict":          {datastore.ErrConflict},
		"nothing answers":   {datastore.ErrUnavailable, datastore.ErrUnavailable, datastore.ErrUnclear, datastore.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{rows: map[datastore.Key]datastore.Row{}, failures: failures}
			daemon := newDaemonWithCrashes(store)
			recorder := daemon.originRecorder
			daemon.origins.SetServing(origin.Releases{"s": {"v1", "v2"}}, daemon.clock.Now())
			for _, id := range []string{"a", "b"} {
				daemon.origins.Begin(origin.Stream{Origin: origin.Origin{Service: "s", Release: "v1"}, ID: id}, daemon.clock.Now())
				for range 5 {
					recorder.take()
					recorder.write(t.Context())
				}
			}
			page, err := decodeOriginPage(store.rows[originKey("a", recorder.process, 0)].Value)
			if streams := page.streams(); err != nil || len(streams) != 2 || len(recorder.unwritten) > 0 {
				t.Errorf("the row has %v, %v", streams, err)
			}
		})
	}
}
