package release

import "fmt"

// DamageError is an object that is missing, differs from its hash or does not fit.
type DamageError struct {
	// Object is the name of the object.
	Object string
	// Number is the number in force that needs it.
	Number uint64
	// Reason tells what is wrong.
	Reason string
}

// Error returns object, number and reason.
func (damage *DamageError) Error() string {
	return fmt.Sprintf("object %s of note %d: %s", damage.Object, damage.Number, damage.Reason)
}
