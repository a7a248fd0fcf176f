package merge

import (
	"bytes"
	"container/heap"
	"slices"
)

// TopRecords returns the count greatest records of all parts in descending byte order. Duplicates are kept. size is the length of a
// record; a shorter remainder at the end of a part is ignored.
func TopRecords(parts [][]byte, size, count int) []byte {
	if size <= 0 || count <= 0 {
		return nil
	}
	top := &recordHeap{}
	for _, part := range parts {
		for ; len(part) >= size; part = part[size:] {
			record := part[:size]
			if top.Len() < count {
				heap.Push(top, record)
			} else if bytes.Compare(record, (*top)[0]) > 0 {
				(*top)[0] = record
				heap.Fix(top, 0)
			}
		}
	}
	slices.SortFunc(*top, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(*top, nil)
}

// recordHeap is a min-heap of records in byte order.
type recordHeap [][]byte

func (records recordHeap) Len() int           { return len(records) }
func (records recordHeap) Less(i, j int) bool { return bytes.Compare(records[i], records[j]) < 0 }
func (records recordHeap) Swap(i, j int)      { records[i], records[j] = records[j], records[i] }

// Push implements heap.Interface.
func (records *recordHeap) Push(record any) { *records = append(*records, record.([]byte)) }

// Pop implements heap.Interface.
func (records *recordHeap) Pop() any {
	last := len(*records) - 1
	record := (*records)[last]
	*records = (*records)[:last]
	return record
}
