package strictyaml

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// sizeUnits are the units of sizes from the largest to the smallest.
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// ParseSize returns the number of bytes of a size such as "8MiB" or "1.5GiB". It returns an error
// if the text has no unit or is negative, too large or not a number.
func ParseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		bytes := value * float64(unit.bytes)
		if err != nil || !(bytes >= 0 && bytes < math.MaxInt64) {
			return 0, fmt.Errorf("%q is not a size", text)
		}
		return int64(bytes), nil
	}
	return 0, fmt.Errorf("%q is not a size", text)
}

// FormatSize formats the size in the largest unit in which it is at least 1, with at most two decimals.
func FormatSize(bytes int64) string {
	for _, unit := range sizeUnits {
		if bytes >= unit.bytes {
			value := math.Round(float64(bytes)/float64(unit.bytes)*100) / 100
			return strconv.FormatFloat(value, 'f', -1, 64) + unit.name
		}
	}
	return "0B"
}
