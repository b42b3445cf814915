// Package observer polls engines for their states and stores the states.
//
// Each upstream is polled by its own goroutine, at the interval
// Settings.Interval, or at the shorter Settings.TransitionInterval while one of
// its replicas is loading or unloading, so that a waiting request can be sent
// soon after its replica becomes ready. If an engine does not respond, its last
// state stays in the store and its age grows.
package observer
