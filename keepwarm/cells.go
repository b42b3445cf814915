package keepwarm

import (
	"cmp"
	"slices"
)

// cell contains the arrivals in one bin of the week.
type cell struct {
	// bin is the bin of the week.
	bin uint16
	// days is the decayed number of days on which the bin had an arrival.
	days float32
	// requests is the decayed number of arrivals in the bin.
	requests float32
}

// minDays is the count below which a cell is deleted.
const minDays = 0.05

// cells contains the bins that had arrivals, ordered by bin; it has at most binsPerWeek entries.
type cells []cell

func (cells cells) find(bin int) (int, bool) {
	return slices.BinarySearchFunc(cells, uint16(bin), func(cell cell, bin uint16) int { return cmp.Compare(cell.bin, bin) })
}

// at returns the cell of the bin, which is empty if the bin had no arrival.
func (cells cells) at(bin int) cell {
	index, ok := cells.find(bin)
	if !ok {
		return cell{bin: uint16(bin)}
	}
	return cells[index]
}

// add returns the cells after adding days and requests to the bin.
func (cells cells) add(bin int, days, requests float32) cells {
	index, ok := cells.find(bin)
	if !ok {
		return slices.Insert(cells, index, cell{uint16(bin), days, requests})
	}
	cells[index].days += days
	cells[index].requests += requests
	return cells
}

// decay multiplies all counts by the factor and deletes cells whose counts have become small.
func (cells cells) decay(factor float32) cells {
	for index := range cells {
		cells[index].days *= factor
		cells[index].requests *= factor
	}
	return slices.DeleteFunc(cells, func(cell cell) bool { return cell.days < minDays && cell.requests < minDays })
}
