package merge

import (
	"bytes"
	"container/heap"
	"slices"
)

// TopRecords returns the greatest records of all parts, greatest first by their bytes; equal records all count. A remainder of a
// part that is shorter than a record is left out.
func TopRecords(parts [][]byte, size, count int) []byte {
	if size <= 0 || count <= 0 {
		return nil
	}
	least := &records{}
	for _, part := range parts {
		for ; len(part) >= size; part = part[size:] {
			record := part[:size]
			if least.Len() < count {
				heap.Push(least, record)
			} else if bytes.Compare(record, (*least)[0]) > 0 {
				(*least)[0] = record
				heap.Fix(least, 0)
			}
		}
	}
	slices.SortFunc(*least, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(*least, nil)
}

// records is a heap with the least record first.
type records [][]byte

func (records records) Len() int           { return len(records) }
func (records records) Less(i, j int) bool { return bytes.Compare(records[i], records[j]) < 0 }
func (records records) Swap(i, j int)      { records[i], records[j] = records[j], records[i] }

// Push implements heap.Interface.
func (records *records) Push(record any) { *records = append(*records, record.([]byte)) }

// Pop implements heap.Interface.
func (records *records) Pop() any {
	last := len(*records) - 1
	record := (*records)[last]
	*records = (*records)[:last]
	return record
}
