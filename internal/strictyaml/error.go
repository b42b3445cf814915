package strictyaml

import "strings"

// Error is a non-empty list of the problems of one file.
type Error struct {
	// File is the name of the file.
	File string
	// Problems are ordered by line.
	Problems []Problem
}

// Error returns one line for each problem, each with the file name.
func (list *Error) Error() string {
	lines := make([]string, len(list.Problems))
	for i, problem := range list.Problems {
		lines[i] = list.File + ": " + problem.String()
	}
	return strings.Join(lines, "\n")
}

// NewError returns the problems in order of lines as an *Error, or nil if there are none.
func NewError(file string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	Sort(problems)
	return &Error{File: file, Problems: problems}
}
