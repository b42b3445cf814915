// Package retry bounds the second attempts of requests as a share of first attempts.
package retry
