// Package retry limits the retries of requests to a share of the first attempts.
package retry
