package admission

import (
	"slices"
	"time"
)

// lateTurns is the number of starts of a priority of which one goes to a request that is late already, if one waits. The others earn
// more by starting in time.
const lateTurns = 4

// class holds the waiting requests of one priority.
type class struct {
	// inTime lists those that can still start by their StartBy, as far as was checked, and late the others; each is in order.
	inTime, late []*Entry
	// tokens is the sum of the prompts of both.
	tokens int
	// started counts the requests that started from here, for lateTurns.
	started int
	// served and offered are the decayed numbers of requests that started, and of all that started or were refused.
	served, offered decayedCount
}

// length returns the number of waiting requests.
func (class *class) length() int {
	return len(class.inTime) + len(class.late)
}

// list returns the list that the entry is in.
func (class *class) list(entry *Entry) *[]*Entry {
	if entry.late {
		return &class.late
	}
	return &class.inTime
}

// insert adds the entry.
func (class *class) insert(entry *Entry) {
	list := class.list(entry)
	index, _ := slices.BinarySearchFunc(*list, entry, compareEntries)
	*list = slices.Insert(*list, index, entry)
	class.tokens += entry.Tokens
}

// remove removes the entry.
func (class *class) remove(entry *Entry) {
	list := class.list(entry)
	if index, ok := slices.BinarySearchFunc(*list, entry, compareEntries); ok {
		*list = slices.Delete(*list, index, index+1)
		class.tokens -= entry.Tokens
	}
}

// expire moves the first entries whose StartBy has passed to the late ones. Each entry is moved once.
func (class *class) expire(now time.Time) {
	for len(class.inTime) > 0 && class.inTime[0].StartBy.Before(now) {
		first := class.inTime[0]
		class.remove(first)
		first.late = true
		class.insert(first)
	}
}

// at returns the entry at the index, in the order in which they may try.
func (class *class) at(index int) *Entry {
	if len(class.late) > 0 && class.started%lateTurns == lateTurns-1 {
		if index < len(class.late) {
			return class.late[index]
		}
		return class.inTime[index-len(class.late)]
	}
	if index < len(class.inTime) {
		return class.inTime[index]
	}
	return class.late[index-len(class.inTime)]
}

// ahead returns how many entries of the class go before the entry, which may be in it.
func (class *class) ahead(entry *Entry) int {
	index, _ := slices.BinarySearchFunc(*class.list(entry), entry, compareEntries)
	if entry.late {
		return len(class.inTime) + index
	}
	return index
}

// share returns the share of the requests of the class that was served lately, and whether there were any. Those that wait and will
// be late count as not served.
func (class *class) share(now time.Time) (float64, bool) {
	offered := class.offered.at(servedHalfLife, now) + float64(len(class.late))
	if offered < 1 {
		return 0, false
	}
	return class.served.at(servedHalfLife, now) / offered, true
}
