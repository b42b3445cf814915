package exchange

// Secret is a text that must not be logged.
type Secret string

// String returns a placeholder.
func (Secret) String() string {
	return "(secret)"
}

// GoString returns a placeholder.
func (Secret) GoString() string {
	return "(secret)"
}
