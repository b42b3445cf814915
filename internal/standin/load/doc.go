// Package load sends streamed chat requests at a stated rate and measures the answers.
//
// The load is open-loop: requests arrive at random times of a seeded Poisson
// process and do not wait for earlier answers. The number in flight is
// bounded; an arrival beyond the bound is not sent and is counted, so that a
// report never hides that less was offered than asked for.
package load
