package quarantine

// mostCounted bounds the count of one fingerprint.
const mostCounted = 64

// counts counts fingerprints of the last time. It keeps two generations, so that what was not counted lately is forgotten.
type counts struct {
	// size is the largest number of fingerprints of a generation.
	size        int
	young, aged map[uint64]int
}

func newCounts(size int) counts {
	return counts{size: size, young: map[uint64]int{}, aged: map[uint64]int{}}
}

// add counts the fingerprint once more.
func (counts *counts) add(fingerprint uint64) {
	if len(counts.young) >= counts.size {
		counts.aged = counts.young
		counts.young = map[uint64]int{}
	}
	total := counts.young[fingerprint] + counts.aged[fingerprint]
	delete(counts.aged, fingerprint)
	counts.young[fingerprint] = min(total+1, mostCounted)
}

// take reduces the count of the fingerprint by one, and reports false if it is zero.
func (counts *counts) take(fingerprint uint64) bool {
	total := counts.young[fingerprint] + counts.aged[fingerprint]
	if total == 0 {
		return false
	}
	delete(counts.aged, fingerprint)
	if total == 1 {
		delete(counts.young, fingerprint)
		return true
	}
	counts.young[fingerprint] = total - 1
	return true
}
