package mesh

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// MaxProofQuery is the largest number of replicas in one question for proofs.
	MaxProofQuery = 16
	// proofTimeout bounds a question for proofs. The other daemon may probe the replicas meanwhile.
	proofTimeout = 450 * time.Millisecond
	// maxProofAge bounds the age of a proof in a message.
	maxProofAge = 24 * time.Hour
)

// Proof is when a daemon had bytes of a response of a replica last, by the clock of this daemon.
type Proof struct {
	Replica topology.Incarnation
	At      time.Time
}

// InvalidProofError is the failure of an answer of another daemon with a proof that cannot be true. The other proofs of the answer are
// valid.
type InvalidProofError struct {
	// Replica is that of the first such proof, and Age its age: the proof is from the future if that is negative, and else of a
	// replica that was not asked for.
	Replica topology.Incarnation
	Age     time.Duration
}

// Error returns a message with the replica and the age.
func (failure *InvalidProofError) Error() string {
	return fmt.Sprintf("proof of replica %q with an age of %v", failure.Replica.ID, failure.Age)
}

// FindProofs asks the daemon at the address when it had bytes of responses of the replicas last, of which there are at most
// MaxProofQuery. The times are never later than the true ones. It returns valid proofs also with an *InvalidProofError.
func (node *Node) FindProofs(ctx context.Context, address string, replicas []topology.Incarnation) ([]Proof, error) {
	query := &meshpb.ProofQuery{Replicas: encodeIncarnations(replicas)}
	sent := node.clock.Now()
	answer, err := call[meshpb.ProofQuery, meshpb.ProofAnswer](ctx, node, address, proofsProcedure, query, proofTimeout)
	if err != nil {
		return nil, err
	}
	now := node.clock.Now()
	answered := sent.Add(min(milliseconds(answer.GetTaken()), now.Sub(sent)))
	return decodeProofs(answer.GetProofs(), replicas, answered)
}

// decodeProofs decodes the proofs of an answer that was given at the time to a question about the replicas.
func decodeProofs(encoded []*meshpb.Proof, replicas []topology.Incarnation, answered time.Time) (proofs []Proof, err error) {
	for _, next := range encoded[:min(len(encoded), MaxProofQuery)] {
		replica := decodeIncarnation(next.GetReplica())
		longest := maxProofAge.Milliseconds()
		age := time.Duration(min(max(next.GetAge(), -longest), longest)) * time.Millisecond
		if age < 0 || !slices.Contains(replicas, replica) {
			err = &InvalidProofError{Replica: replica, Age: age}
			continue
		}
		proofs = append(proofs, Proof{Replica: replica, At: answered.Add(-age)})
	}
	return proofs, err
}

// serveProofs responds to the question of another daemon.
func (node *Node) serveProofs(ctx context.Context, query *meshpb.ProofQuery) (*meshpb.ProofAnswer, error) {
	begun := node.clock.Now()
	replicas := decodeIncarnations(query.GetReplicas())
	proofs := node.deps.Proofs(ctx, replicas[:min(len(replicas), MaxProofQuery)])
	now := node.clock.Now()
	answer := &meshpb.ProofAnswer{Taken: uint64(max(now.Sub(begun), 0).Milliseconds())}
	for _, proof := range proofs {
		answer.Proofs = append(answer.Proofs, &meshpb.Proof{
			Replica: encodeIncarnations([]topology.Incarnation{proof.Replica})[0],
			Age:     max(now.Sub(proof.At), 0).Milliseconds(),
		})
	}
	return answer, nil
}
