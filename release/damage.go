package release

import "fmt"

// DamageError reports an object that is missing, differs from the hash in its name, or cannot be decoded or applied.
type DamageError struct {
	// Object is the name of the object.
	Object string
	// Number is the number in force whose state needs the object.
	Number uint64
	// Reason describes the fault.
	Reason string
}

// Error returns a message with the object, the number and the reason.
func (damage *DamageError) Error() string {
	return fmt.Sprintf("object %s of note %d: %s", damage.Object, damage.Number, damage.Reason)
}
