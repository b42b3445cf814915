package front

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/origin"
)

const (
	// originTable holds the origins of streams while a service has several releases: a few rows for each process of a daemon.
	originTable = "Origins"
	// maxRowReleases is the largest number of releases of one service that a row lists.
	maxRowReleases = 16
)

// originPage is the value of a row of the table.
type originPage struct {
	// Releases lists the releases that served when the row was written, or lately, as its daemon itself saw.
	Releases origin.Releases
	// Groups lists the streams by origin.
	Groups []originGroup
}

// originGroup lists the attempts that began the streams of one origin.
type originGroup struct {
	Service, Release string
	Attempts         []string
}

// newOriginPage returns the value of the row of a page. lately lists the releases that the daemon itself saw lately.
func newOriginPage(page origin.Page, lately origin.Releases) originPage {
	content := originPage{Releases: origin.Releases{}}
	for service, releases := range lately {
		content.Releases[service] = releases[:min(len(releases), maxRowReleases)]
	}
	groups := map[origin.Origin]int{}
	for _, stream := range page.Streams {
		index, ok := groups[stream.Origin]
		if !ok {
			index = len(content.Groups)
			groups[stream.Origin] = index
			content.Groups = append(content.Groups, originGroup{Service: stream.Service, Release: stream.Release})
		}
		content.Groups[index].Attempts = append(content.Groups[index].Attempts, stream.ID)
	}
	return content
}

// decodeOriginPage decodes the value of a row.
func decodeOriginPage(value []byte) (originPage, error) {
	var content originPage
	if err := json.Unmarshal(value, &content); err != nil {
		return originPage{}, trace.Wrap(err)
	}
	return content, nil
}

// streams returns the streams on the page.
func (content *originPage) streams() []origin.Stream {
	var streams []origin.Stream
	for _, group := range content.Groups {
		for _, attempt := range group.Attempts {
			began := origin.Origin{Service: group.Service, Release: group.Release}
			streams = append(streams, origin.Stream{Origin: began, ID: attempt})
		}
	}
	return streams
}

// originKey returns the key of the row of a page. Each process has rows of its own, so that those of the process before it,
// whose streams may be taken up, stay.
func originKey(daemon, process string, page int) datastore.Key {
	return datastore.Key{Table: originTable, Row: fmt.Sprintf("%s-%s-%d", daemon, process, page)}
}
