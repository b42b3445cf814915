package relay

import "github.com/bronzestall/bronzestall/exchange"

// position is how far a client has received a stream. The zero value is a client that has no event.
type position struct {
	// last is the ID of the last event with a number, if there is one.
	last exchange.EventID
	// unnumbered is set if the client has an event without a number after that one: no ID tells another replica where to go on.
	unnumbered bool
}

// after returns the position of a client that also received the event with the ID, if it has one. Comments change nothing.
func (reached position) after(event []byte, id exchange.EventID) position {
	switch {
	case id.Known():
		return position{last: id}
	case hasContent(event):
		return position{last: reached.last, unnumbered: true}
	default:
		return reached
	}
}
