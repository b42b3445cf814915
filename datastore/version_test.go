package datastore_test

import (
	"fmt"

	"github.com/bronzestall/bronzestall/datastore"
)

// A store that came back from an older copy gives out its numbers again, in the next era.
func ExampleVersion() {
	before := datastore.NewVersion(3, 812)
	after := datastore.NewVersion(4, 790)
	fmt.Println(before, after, before < after)
	// Output: 3.812 4.790 true
}
