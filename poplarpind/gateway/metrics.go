package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const maxLatencyMicros = 60_000_000 // the histograms end at one minute

// latencies holds a latency histogram for each route of the requests that were admitted and have ended, whatever their outcome,
// except those whose client left.
var latencies = struct {
	sync.Mutex
	byRoute map[string]*hdrhistogram.Histogram
}{byRoute: map[string]*hdrhistogram.Histogram{}}

// latencySummary is what /debug/vars shows of a histogram, in microseconds.
type latencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func init() {
	expvar.Publish("requestLatency", expvar.Func(func() any {
		latencies.Lock()
		defer latencies.Unlock()
		view := map[string]latencySummary{}
		for route, histogram := range latencies.byRoute {
			view[route] = latencySummary{histogram.TotalCount(), histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(90),
				histogram.ValueAtQuantile(99), histogram.Max()}
		}
		return view
	}))
}

// recordLatency records the latency of a request of a route.
func recordLatency(route string, latency time.Duration) {
	latencies.Lock()
	defer latencies.Unlock()
	histogram, ok := latencies.byRoute[route]
	if !ok {
		histogram = hdrhistogram.New(1, maxLatencyMicros, 2)
		latencies.byRoute[route] = histogram
	}
	_ = histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
}
