package merge_test

import (
	"bytes"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/merge"
)

const size = 4

// TestTop compares the result with that of sorting all records, and merging in two steps, as relays do, with merging in one.
func TestTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 60), 0, 8).Draw(t, "parts")
		count := rapid.IntRange(1, 20).Draw(t, "count")
		var all [][]byte
		for _, part := range parts {
			for ; len(part) >= size; part = part[size:] {
				all = append(all, part[:size])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(count, len(all))], nil)
		assert.Assert(t, bytes.Equal(merge.TopRecords(parts, size, count), want))
		cut := rapid.IntRange(0, len(parts)).Draw(t, "cut")
		nested := [][]byte{merge.TopRecords(parts[:cut], size, count), merge.TopRecords(parts[cut:], size, count)}
		assert.Assert(t, bytes.Equal(merge.TopRecords(nested, size, count), want))
	})
}
