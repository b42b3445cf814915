package release

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// TestFieldsOfALaterBuildReachSnapshotsAndPeers guards against daemons of an older build that accept notes, write a snapshot or pass
// the catalogue on to a daemon, and lose there the fields that only the newer build knows.
func TestFieldsOfALaterBuildReachSnapshotsAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		client := fake.Client()
		ledger := ledgerOn(client)
		follower := followerOn(fake.Client())
		defer startFollower(t, follower)()
		const field = `{"Later":{"a":[1]}}`
		later := noteAdding("n1", 0)
		later.Unknown = field
		later.Models.Added[0].Unknown = field
		later.Adapters.Unknown = field
		later.Services = catalogue.Changes[catalogue.Service, string]{Added: []catalogue.Service{{Name: "s", Calls: []catalogue.Call{{Unknown: field}}, Unknown: field}}}
		entry, err := ledger.Accept(t.Context(), later, "operator")
		if err != nil {
			t.Fatal(err)
		}
		accept(t, ledger, 1, maxRecentDifferences)
		advanceTime(2 * time.Second)

		accepted, err := ledger.difference(t.Context(), entry)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := decodeBody(accepted.Body); err != nil || body.Unknown != field || body.Adapters.Unknown != field {
			t.Errorf("the note is written as %s, %v", accepted.Body, err)
		}
		head, _, err := ledger.head(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := ledger.snapshot(t.Context(), head.Snapshot)
		if err != nil || head.Snapshot.Number != 2*SnapshotEvery {
			t.Fatalf("snapshot of %d, %v", head.Snapshot.Number, err)
		}
		update, err := follower.Since(t.Context(), 0)
		if err != nil || len(update.Whole) == 0 {
			t.Fatalf("the update is %+v, %v", update, err)
		}
		updated, err := InForce{}.applyUpdate(update)
		if err != nil {
			t.Fatal(err)
		}
		for name, state := range map[string]InForce{"snapshot": snapshot, "peer": updated} {
			model, _ := state.Catalogue.Model("model-n1")
			service, _ := state.Catalogue.Service("s")
			if model.Unknown != field || service.Unknown != field || len(service.Calls) != 1 || service.Calls[0].Unknown != field {
				t.Errorf("%s: the model is %+v, the service %+v", name, model, service)
			}
		}
	})
}
