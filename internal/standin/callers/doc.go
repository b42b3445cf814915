// Package callers stands in for callers behind a balancer while daemons fail.
//
// Callers send streamed chats and calls that may not be repeated, choose
// among the daemons whose health check passes, and resend what was not
// answered through another daemon, calls with the same idempotency key. Every
// answer is compared with the one that the engine's stand-in gives to exactly
// this request. At the end the calls are judged by what the service counted.
package callers
