package answer

import (
	"net/http"
	"sync"
)

// Control holds the active faults of type F and the counters of type C of one stand-in. The zero value has
// no faults. The mutex guards ActiveFaults and Recorded.
type Control[F, C any] struct {
	sync.Mutex
	// ActiveFaults are the faults that currently apply.
	ActiveFaults F
	// Recorded holds the counters of the stand-in.
	Recorded C
}

// Handle registers GET prefix/counts, which returns snapshot(), and POST prefix/faults, which sets the faults.
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

// SetFaults replaces the active faults.
func (control *Control[F, C]) SetFaults(faults F) {
	control.Lock()
	defer control.Unlock()
	control.ActiveFaults = faults
}

// ConsumeFault reports whether the fault with the given counter applies to this event. If so, it decrements the counter.
func (control *Control[F, C]) ConsumeFault(counter func(faults *F) *int) bool {
	control.Lock()
	defer control.Unlock()
	return ConsumeOne(counter(&control.ActiveFaults))
}

// ConsumeOne decrements remaining unless it is zero and reports whether it did. The caller must hold the mutex.
func ConsumeOne(remaining *int) bool {
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}
