package outcome

// Advice states whether sending the same request again can succeed.
type Advice string

// The complete list of advice.
const (
	// Never means that the same request fails again until it is changed.
	Never Advice = "never"
	// Later means that the request can be sent again after the stated delay.
	Later Advice = "later"
	// IfIdempotent means that the request can be sent again only if it may be executed twice.
	IfIdempotent Advice = "only if idempotent"
	// SameKey means that the request can be sent again with the same idempotency key.
	SameKey Advice = "with the same key"
)
