package lending

import (
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/lending/lendingpb"
)

// encodeResumeAfter sets the ID of the last event that the client has. Builds before protocol.EventZero take the number zero for no ID,
// so that it has a field of its own.
func encodeResumeAfter(encoded *lendingpb.Request, last exchange.EventID) {
	number, known := last.Number()
	encoded.ResumeAfter = number
	encoded.AfterEventZero = known && number == 0
}

// decodeResumeAfter returns the ID of the last event that the client has, if it has one.
func decodeResumeAfter(encoded *lendingpb.Request) exchange.EventID {
	if encoded.GetResumeAfter() == 0 && !encoded.GetAfterEventZero() {
		return exchange.EventID{}
	}
	return exchange.NewEventID(encoded.GetResumeAfter())
}
