package origin

import "time"

const (
	// Pages is the number of pages of a log. A page is begun again only after all others are full or old, so that each stream
	// stays in the log for Retention unless there are too many.
	Pages = 4
	// pageTime is how long streams are added to one page.
	pageTime = Retention / (Pages - 1)
	// maxPageBytes is the largest sum of the lengths of the IDs on one page, with idOverhead bytes for each.
	maxPageBytes = 40 << 10
	idOverhead   = 8
)

// Page is one page of a log.
type Page struct {
	// Number is from zero to Pages-1.
	Number int
	// Streams lists the streams on the page.
	Streams []Stream
}

// Log divides the streams that a daemon records into pages. The zero value is ready to use.
type Log struct {
	page   Page
	bytes  int
	opened time.Time
}

// Add adds the streams and returns the pages that changed, in the order in which they have to be written.
func (log *Log) Add(streams []Stream, now time.Time) []Page {
	if log.opened.IsZero() || now.Sub(log.opened) >= pageTime {
		log.turn(now)
	}
	var changed []Page
	for _, stream := range streams {
		size := len(stream.ID) + idOverhead
		if log.bytes+size > maxPageBytes {
			changed = append(changed, log.page)
			log.turn(now)
		}
		log.page.Streams = append(log.page.Streams, stream)
		log.bytes += size
	}
	return append(changed, log.page)
}

// turn begins the next page.
func (log *Log) turn(now time.Time) {
	if !log.opened.IsZero() {
		log.page.Number = (log.page.Number + 1) % Pages
	}
	log.page.Streams, log.bytes, log.opened = nil, 0, now
}
