package admission

import "time"

const (
	// shortShare is the share of its requests below which a priority is short of capacity.
	shortShare = 0.99
	// lead is how much more of its requests a more urgent priority is served than a less urgent one: the shares are known with a delay.
	lead = 0.1
)

// Standing tells how a priority is served compared with more urgent ones.
type Standing int

// The standings of a priority.
const (
	// Unrivalled means that all more urgent priorities were served lately, or had no requests.
	Unrivalled Standing = iota
	// Behind means that some of them were refused or wait, and none was served less often.
	Behind
	// Ahead means that one of them was served less often, or hardly more often: the priority should get only what these leave.
	Ahead
)

// Standing returns the standing of the priority.
func (queue *Queue) Standing(priority int, now time.Time) Standing {
	own, known := queue.classes[priority].share(now)
	if !known {
		own = 1
	}
	standing := Unrivalled
	for more := range priority {
		share, known := queue.classes[more].share(now)
		switch {
		case !known || share >= shortShare:
		case share < own+lead:
			return Ahead
		default:
			standing = Behind
		}
	}
	return standing
}
