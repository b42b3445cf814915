package note_test

import (
	"fmt"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/note"
)

func ExampleNote_Diff() {
	inForce, _ := catalogue.Catalogue{}.Apply(catalogue.Change{
		Models: catalogue.Changes[catalogue.Model, string]{
			Added: []catalogue.Model{{Name: "assistant", Version: "1", Weights: 26 << 30}},
		},
	})
	parsed, err := note.Parse("note.yaml", []byte(`
Note: assistant-2
Base: 1
Summary: Assistant with longer answers
Models:
  Changed:
    - Name: assistant
      Version: "2"
      Weights: 26GiB
      Reserve: 4GiB
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, line := range parsed.Diff(inForce) {
		fmt.Println(line)
	}
	// Output:
	// Changed   Model assistant  Version: 1 -> 2, Reserve: 0B -> 4GiB
}

func ExampleNote_Check() {
	parsed, err := note.Parse("note.yaml", []byte(`
Note: assistant-3
Base: 1
Summary: Assistant for large engines
Models:
  Added:
    - Name: assistant
      Version: "3"
      Weights: 100GiB
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, problem := range parsed.Check(catalogue.Catalogue{}, note.Capacity{LargestEngine: 80 << 30}) {
		fmt.Println(problem)
	}
	// Output:
	// line 9: Models.Added[0].Weights: Model assistant needs 100GiB with reserve and adapter slots; the largest engine has 80GiB
}
