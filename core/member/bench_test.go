package member_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"poplarpin.dev/core/member"
)

// BenchmarkControl measures the messages, bytes, CPU time and memory of one member for several numbers of members.
func BenchmarkControl(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 3300} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			fleet := newSettledFleet(size)
			runtime.ReadMemStats(&after)
			fleet.messages, fleet.bytes, fleet.measure = 0, 0, true
			const span = 2 * time.Second
			seconds := 0.0
			for b.Loop() {
				fleet.run(span)
				seconds += span.Seconds()
			}
			memberSeconds := seconds * float64(size)
			b.ReportMetric(float64(fleet.messages)/memberSeconds, "messages/s")
			b.ReportMetric(float64(fleet.bytes)/memberSeconds, "bytes/s")
			b.ReportMetric(b.Elapsed().Seconds()/memberSeconds*1e6, "us/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size)/1024, "KB")
		})
	}
}

// newSettledFleet returns a fleet in which every member knows all others.
func newSettledFleet(size int) *fleet {
	fleet := newFleet(size, 1)
	var all []member.Member
	for _, name := range fleet.names {
		all = append(all, fleet.lists[name].Self())
	}
	for _, name := range fleet.names {
		fleet.lists[name].Receive(fleet.now, member.Message{Kind: member.SyncReply, From: all[0], Updates: all})
	}
	fleet.run(10 * time.Second)
	return fleet
}

// messageSize returns the encoded size of a message in bytes.
func messageSize(message member.Message) int {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err) // the message consists of plain data
	}
	return len(data)
}
