package keepwarm

import (
	"cmp"
	"slices"
)

// cell counts the arrivals in one bin of the week.
type cell struct {
	// bin is the bin of the week.
	bin uint16
	// days is the decayed number of days on which the bin had an arrival.
	days float32
	// requests is the decayed number of arrivals in it.
	requests float32
}

// leastDays is the number of days below which a cell is dropped.
const leastDays = 0.05

// cells holds the bins that had arrivals, ordered by bin; it has at most binsPerWeek entries.
type cells []cell

func (cells cells) find(bin int) (int, bool) {
	return slices.BinarySearchFunc(cells, uint16(bin), func(cell cell, bin uint16) int { return cmp.Compare(cell.bin, bin) })
}

// at returns the cell of the bin, empty if there was no arrival.
func (cells cells) at(bin int) cell {
	place, ok := cells.find(bin)
	if !ok {
		return cell{bin: uint16(bin)}
	}
	return cells[place]
}

// add returns the cells with days and requests added to the bin.
func (cells cells) add(bin int, days, requests float32) cells {
	place, ok := cells.find(bin)
	if !ok {
		return slices.Insert(cells, place, cell{uint16(bin), days, requests})
	}
	cells[place].days += days
	cells[place].requests += requests
	return cells
}

// decay multiplies all counts and drops cells that have become small.
func (cells cells) decay(factor float32) cells {
	for place := range cells {
		cells[place].days *= factor
		cells[place].requests *= factor
	}
	return slices.DeleteFunc(cells, func(cell cell) bool { return cell.days < leastDays && cell.requests < leastDays })
}
