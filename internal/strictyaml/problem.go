package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
)

// Problem is one problem of a file.
type Problem struct {
	// Line counts from one; zero means the whole file.
	Line int `json:"Line"`
	// Key is the path of the key, such as "Lease.Term" or "Models.Added[0].Name".
	Key string `json:"Key"`
	// Reason states what is wrong and what is allowed.
	Reason string `json:"Reason"`
}

// String returns "line N: Key: reason".
func (problem Problem) String() string {
	if problem.Key == "" {
		return fmt.Sprintf("line %d: %s", problem.Line, problem.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", problem.Line, problem.Key, problem.Reason)
}

// Sort orders the problems by line and key.
func Sort(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
