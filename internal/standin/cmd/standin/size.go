package main

import (
	"fmt"
	"strconv"
	"strings"
)

// size is a flag value in bytes, written with the unit KiB, MiB, GiB or none.
type size int64

// UnmarshalText parses a size such as 80GiB. It returns an error if the number is missing or negative.
func (s *size) UnmarshalText(text []byte) error {
	units := []struct {
		suffix string
		shift  int
	}{{"KiB", 10}, {"MiB", 20}, {"GiB", 30}, {"", 0}}
	for _, unit := range units {
		digits, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number < 0 {
			return fmt.Errorf("%q is not a size such as 80GiB", text)
		}
		*s = size(number << unit.shift)
		return nil
	}
	return nil
}
