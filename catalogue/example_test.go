package catalogue_test

import (
	"fmt"

	"github.com/bronzestall/bronzestall/catalogue"
)

func Example() {
	first, _ := catalogue.Catalogue{}.Apply(catalogue.Change{
		Models: catalogue.Changes[catalogue.Model, string]{
			Added: []catalogue.Model{{Name: "assistant", Version: "1"}, {Name: "drafts", Version: "1"}},
		},
	})
	second, _ := first.Apply(catalogue.Change{
		Models: catalogue.Changes[catalogue.Model, string]{
			Changed:   []catalogue.Model{{Name: "assistant", Version: "2"}},
			Withdrawn: []string{"drafts"},
		},
	})
	inForce, _ := second.Model("assistant")
	previous, _ := second.PreviousModel("assistant")
	fmt.Println("in force:", inForce.Version, "previous:", previous.Version)
	_, _, failure := second.Resolve(catalogue.ParseTarget("drafts"))
	fmt.Println(failure)
	old, _ := first.Model("assistant")
	fmt.Println("a reader of the first catalogue still sees version", old.Version)
	// Output:
	// in force: 2 previous: 1
	// Withdrawn: Model drafts was withdrawn
	// a reader of the first catalogue still sees version 1
}
