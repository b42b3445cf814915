package keepwarm

import "time"

// A week is divided into bins of equal length.
const (
	binLength   = 10 * time.Minute
	binsPerDay  = int(24 * time.Hour / binLength)
	daysPerWeek = 7
	binsPerWeek = binsPerDay * daysPerWeek
)

// grid maps times to days and bins in one time zone.
type grid struct {
	location *time.Location
}

// day returns the number of the day since a fixed Monday; it is negative before that Monday.
func (grid grid) day(at time.Time) int {
	const epochWeekday = 3 // 1970-01-01 was the third day after a Monday.
	_, offset := at.In(grid.location).Zone()
	seconds := at.Unix() + int64(offset)
	return int(floorDivide(seconds, int64(24*time.Hour/time.Second))) + epochWeekday
}

// bin returns the bin of the week, counted from zero at the beginning of Monday.
func (grid grid) bin(at time.Time) int {
	const epochBins = 3 * int64(binsPerDay)
	_, offset := at.In(grid.location).Zone()
	bins := floorDivide(at.Unix()+int64(offset), int64(binLength/time.Second)) + epochBins
	return int(bins - floorDivide(bins, int64(binsPerWeek))*int64(binsPerWeek))
}

// weekday returns the day of the week of a day number, where zero is Monday.
func weekday(day int) int {
	return int(int64(day) - floorDivide(int64(day), daysPerWeek)*daysPerWeek)
}

// weekend reports whether a day of the week is Saturday or Sunday.
func weekend(weekday int) bool {
	return weekday >= 5
}

func floorDivide(a, b int64) int64 {
	quotient := a / b
	if a%b < 0 {
		quotient--
	}
	return quotient
}
