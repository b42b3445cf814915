// Package demand counts the requests of a daemon for each model and adapter: arrivals, waiting requests and those
// in flight.
package demand
