package release

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/gravitational/trace"
)

// maxRecentDifferences is the number of differences that a follower keeps for its peers.
const maxRecentDifferences = 64

// recentDifferences holds the newest differences, and the encoded catalogue, for peers. It is safe for concurrent use.
type recentDifferences struct {
	mutex sync.Mutex
	// differences are consecutive and end at the number in force. There are at most maxRecentDifferences.
	differences []Difference
	// whole is the encoded catalogue of number wholeNumber. It is encoded when a peer first needs it.
	whole       []byte
	wholeNumber uint64
}

// add appends differences. A gap before them drops the older ones.
func (recent *recentDifferences) add(differences []Difference) {
	recent.mutex.Lock()
	defer recent.mutex.Unlock()
	for _, difference := range differences {
		last := len(recent.differences) - 1
		if last >= 0 && recent.differences[last].Number+1 != difference.Number {
			recent.differences = nil
		}
		recent.differences = append(recent.differences, difference)
	}
	excess := max(0, len(recent.differences)-maxRecentDifferences)
	recent.differences = slices.Clone(recent.differences[excess:])
}

// update returns what leads from a number to the state in force: differences if they are kept, else the whole.
func (recent *recentDifferences) update(number uint64, inForce InForce) (Update, error) {
	recent.mutex.Lock()
	defer recent.mutex.Unlock()
	if number >= inForce.Number {
		return Update{Number: inForce.Number}, nil
	}
	if differences, ok := recent.between(number, inForce.Number); ok {
		return Update{Number: inForce.Number, Differences: differences}, nil
	}
	if err := recent.encode(inForce); err != nil {
		return Update{}, err
	}
	return Update{Number: inForce.Number, Whole: recent.whole, WholeNumber: recent.wholeNumber}, nil
}

// between returns the differences after one number up to another if all of them are kept.
func (recent *recentDifferences) between(after, upTo uint64) ([]Difference, bool) {
	at := func(number uint64) int {
		return slices.IndexFunc(recent.differences, func(difference Difference) bool { return difference.Number == number })
	}
	first, last := at(after+1), at(upTo)
	if first < 0 || last < 0 {
		return nil, false
	}
	return slices.Clone(recent.differences[first : last+1]), true
}

func (recent *recentDifferences) encode(inForce InForce) error {
	if recent.whole != nil && recent.wholeNumber == inForce.Number {
		return nil
	}
	whole, err := json.Marshal(inForce.Catalogue)
	if err != nil {
		return trace.Wrap(err)
	}
	recent.whole, recent.wholeNumber = whole, inForce.Number
	return nil
}
