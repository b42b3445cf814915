// Package callers simulates clients behind a load balancer while daemons fail.
//
// The clients send streamed chats and calls that must not be executed twice.
// They select daemons whose health check passes and retry requests without a
// complete response on another daemon; a call keeps its idempotency key. Every
// response is compared with the one that the stand-in of the engine generates
// for this request. At the end the calls are compared with the executions that
// the service counted.
package callers
