package front

import (
	"testing"

	"github.com/bronzestall/bronzestall/mesh"
)

// TestReaderIsRecentOnlyWithTheReplicaTable guards against a day of issue 18: daemons that the store had just answered for another
// table counted as recent readers for each other, so that none of them read the replica table, and replicas that left got requests.
func TestReaderIsRecentOnlyWithTheReplicaTable(t *testing.T) {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	daemon.replicasSeen = daemon.replicasSeen.Add(-2 * maxStoreAge)
	daemon.storeResponded()
	if age := daemon.updateSince(mesh.UpdateRequest{}).StoreAge; age <= maxStoreAge {
		t.Errorf("the age told to others is %v after the store answered for another table", age)
	}
	if age := daemon.dataAge(); age <= maxStoreAge {
		t.Errorf("the age of the replica table is %v", age)
	}
	daemon.replicasResponded()
	if age := daemon.updateSince(mesh.UpdateRequest{}).StoreAge; age > maxStoreAge {
		t.Errorf("the age told to others is %v after the store answered for the replica table", age)
	}
}
