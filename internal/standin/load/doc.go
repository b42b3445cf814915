// Package load is a load generator that sends streamed chat requests at a given rate and measures the responses.
//
// The load is open-loop: requests arrive according to a seeded Poisson process
// and do not wait for earlier responses. The number in flight is bounded. An
// arrival beyond the bound is not sent but counted, so that the report shows
// when less load was offered than configured.
package load
