package answer

import (
	"net/http"
	"sync"
)

// Control holds the faults and the counts of one stand-in, of types F and C. The zero value is healthy.
// Its lock guards InForce and Done.
type Control[F, C any] struct {
	sync.Mutex
	// ActiveFaults are the faults in force.
	ActiveFaults F
	// Recorded are the counts of what the stand-in did.
	Recorded C
}

// Handle serves GET prefix/counts from snapshot, and POST prefix/faults.
func (control *Control[F, C]) Handle(mux *http.ServeMux, prefix string, snapshot func() C) {
	mux.HandleFunc("GET "+prefix+"/counts", func(writer http.ResponseWriter, _ *http.Request) {
		JSON(writer, http.StatusOK, snapshot())
	})
	mux.HandleFunc("POST "+prefix+"/faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults F
		if Decode(writer, request, &faults) {
			control.SetFaults(faults)
		}
	})
}

// SetFaults puts other faults in force.
func (control *Control[F, C]) SetFaults(faults F) {
	control.Lock()
	defer control.Unlock()
	control.ActiveFaults = faults
}

// ConsumeFault reports whether one of the coming events that the counter holds is this one, and counts it off.
func (control *Control[F, C]) ConsumeFault(counter func(faults *F) *int) bool {
	control.Lock()
	defer control.Unlock()
	return ConsumeOne(counter(&control.ActiveFaults))
}

// ConsumeOne counts one off unless none is left, and reports whether it did.
func ConsumeOne(left *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	return true
}
