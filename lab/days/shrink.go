package days

import "slices"

// Shrink takes disruptions away from a day for as long as it still breaks, halves first, then one at a time. The function plays
// a day and tells whether it breaks.
func Shrink(day Day, breaks func(Day) bool) Day {
	for size := max(1, len(day.Entries)/2); ; size /= 2 {
		day = shrinkBy(day, size, breaks)
		if size <= 1 {
			break
		}
	}
	if day.Closing != "" {
		open := day
		open.Closing = ""
		if breaks(open) {
			return open
		}
	}
	return day
}

// shrinkBy takes away so many neighbours at a time, wherever the day still breaks without them.
func shrinkBy(day Day, size int, breaks func(Day) bool) Day {
	for at := 0; at+size <= len(day.Entries); {
		smaller := day
		smaller.Entries = slices.Delete(slices.Clone(day.Entries), at, at+size)
		if breaks(smaller) {
			day = smaller
			continue
		}
		at += size
	}
	return day
}
