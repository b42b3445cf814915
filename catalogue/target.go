package catalogue

import "strings"

// adapterSeparator separates model and adapter in the model field of requests.
const adapterSeparator = ":"

// Target identifies a model, or an adapter of a model.
type Target struct {
	// Model is the name of the model.
	Model string `json:"Model"`
	// Adapter is the name of the adapter, or empty.
	Adapter string `json:"Adapter,omitempty"`
}

// ParseTarget splits the model field of a request at the first colon.
func ParseTarget(field string) Target {
	model, adapter, _ := strings.Cut(field, adapterSeparator)
	return Target{Model: model, Adapter: adapter}
}

// String returns the target in the form that ParseTarget reads.
func (target Target) String() string {
	if target.Adapter == "" {
		return target.Model
	}
	return target.Model + adapterSeparator + target.Adapter
}
