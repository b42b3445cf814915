package outcome

// Advice tells a caller whether sending the same request again can help.
type Advice string

// The closed list of advice.
const (
	// Never means that the same request fails again until it is changed.
	Never Advice = "never"
	// Later means that the request can be sent again after the stated delay.
	Later Advice = "later"
	// IfIdempotent means that only a request that may run twice can be sent again.
	IfIdempotent Advice = "only if idempotent"
	// SameKey means that the request can be sent again with the same idempotency key.
	SameKey Advice = "with the same key"
)
