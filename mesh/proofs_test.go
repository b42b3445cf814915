package mesh

import (
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

// TestFindProofs covers daemons that say when replicas responded to them last: never later than they did.
func TestFindProofs(t *testing.T) {
	asking, witness := newTestDaemon(t, "a", State{}, nil), newTestDaemon(t, "b", State{}, nil)
	replica := topology.Incarnation{ID: "i-7f3a91c2", Started: 1764900000000}
	at := time.Now().Add(-3 * time.Second)
	witness.proofs = []Proof{{Replica: replica, At: at}}
	proofs, err := asking.FindProofs(t.Context(), witness.address, []topology.Incarnation{replica})
	if err != nil || len(proofs) != 1 || proofs[0].Replica != replica {
		t.Fatalf("got %+v, %v", proofs, err)
	}
	if early := at.Sub(proofs[0].At); early < -time.Millisecond || early > time.Second {
		t.Errorf("the proof is %v earlier than it was", early)
	}
}

// TestFalseProofsAreIgnored guards against daemons that claim proofs from the future, or of replicas that they were not asked about.
func TestFalseProofsAreIgnored(t *testing.T) {
	known, other := topology.Incarnation{ID: "a", Started: 1}, topology.Incarnation{ID: "a", Started: 2}
	proof := func(replica topology.Incarnation, age int64) *meshpb.Proof {
		return &meshpb.Proof{Replica: encodeIncarnations([]topology.Incarnation{replica})[0], Age: age}
	}
	endless := slices.Repeat([]*meshpb.Proof{proof(known, 5)}, 1000)
	for name, c := range map[string]struct {
		proofs []*meshpb.Proof
		valid  int
		fails  bool
	}{
		"valid":             {[]*meshpb.Proof{proof(known, 5)}, 1, false},
		"from the future":   {[]*meshpb.Proof{proof(known, -1), proof(known, 5)}, 1, true},
		"far in the future": {[]*meshpb.Proof{proof(known, -1<<63)}, 0, true},
		"another replica":   {[]*meshpb.Proof{proof(other, 5)}, 0, true},
		"no replica":        {[]*meshpb.Proof{{}}, 0, true},
		"too many":          {endless, MaxProofQuery, false},
		"very old":          {[]*meshpb.Proof{proof(known, 1<<63-1)}, 1, false},
	} {
		now := time.Now()
		proofs, err := decodeProofs(c.proofs, []topology.Incarnation{known}, now)
		var invalid *InvalidProofError
		if len(proofs) != c.valid || errors.As(err, &invalid) != c.fails {
			t.Errorf("%s: got %d proofs, %v", name, len(proofs), err)
		}
		for _, next := range proofs {
			if next.At.After(now) {
				t.Errorf("%s: a proof is from the future", name)
			}
		}
	}
}

// TestProofsAreSmall checks the size of a question and of its answer: 64 bytes for each replica at most.
func TestProofsAreSmall(t *testing.T) {
	query, answer := &meshpb.ProofQuery{}, &meshpb.ProofAnswer{Taken: 300}
	for range MaxProofQuery {
		query.Replicas = append(query.Replicas, &meshpb.Run{Replica: "i-7f3a91c2", Born: 1764900000000})
		answer.Proofs = append(answer.Proofs, &meshpb.Proof{Replica: query.Replicas[0], Age: 12345})
	}
	t.Logf("%d replicas: %d bytes are asked, %d answered", MaxProofQuery, proto.Size(query), proto.Size(answer))
	if proto.Size(query)+proto.Size(answer) > 64*MaxProofQuery {
		t.Error("a question and its answer are too large")
	}
}
