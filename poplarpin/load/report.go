package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpin/check"
)

const (
	longestLatency = 2 * time.Minute
	sliceSpan      = 500 * time.Millisecond // of the timeline
	shownCases     = 20                     // violations that a report shows
)

// Figures are the results of one stream.
type Figures struct {
	Sent     int                 `json:"sent"`
	Outcomes map[api.Outcome]int `json:"outcomes"`
	Missing  map[api.Reason]int  `json:"missing,omitempty"` // shards of partial answers, by reason
	Errors   map[string]int      `json:"errors,omitempty"`  // requests without a final answer, by cause
	InTime   int                 `json:"inTime"`            // whole or run within the deadline
	Coverage float64             `json:"coverage"`          // mean over all answers that ran
	P50      config.Duration     `json:"p50"`
	P90      config.Duration     `json:"p90"`
	P99      config.Duration     `json:"p99"`
	P999     config.Duration     `json:"p999"`
	Max      config.Duration     `json:"max"`
	Hedges   int                 `json:"hedges"`

	histogram *hdrhistogram.Histogram
	covered   float64
	answered  int
}

// Slice is one step of the timeline.
type Slice struct {
	At       config.Duration `json:"at"`
	Answers  int             `json:"answers"`
	Whole    int             `json:"whole"`
	P50      config.Duration `json:"p50"`
	P99      config.Duration `json:"p99"`
	Coverage float64         `json:"coverage"` // mean

	histogram *hdrhistogram.Histogram
	covered   float64
}

// Report is the result of an experiment.
type Report struct {
	Streams     map[string]*Figures `json:"streams"`
	Goodput     float64             `json:"goodput"` // answers in time a second, by weight
	Calls       int64               `json:"calls"`   // that targets ran or began
	Refused     int64               `json:"refused"` // calls that targets refused
	Needed      int64               `json:"needed"`  // calls without hedges and retries
	ExtraLoad   float64             `json:"extraLoad"`
	PeakOpen    int                 `json:"peakOpen"` // most connections at one target
	OverLimit   int64               `json:"overLimit"`
	Violations  []check.Violation   `json:"violations"`
	Broken      int                 `json:"broken"` // violations in all
	Timeline    []*Slice            `json:"timeline"`
	RecoveredIn config.Duration     `json:"recoveredIn"` // from the first fault to the last partial answer
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency.Microseconds(), 3)
}

func newReport() *Report { return &Report{Streams: map[string]*Figures{}} }

func (report *Report) stream(name string) *Figures {
	figures, ok := report.Streams[name]
	if !ok {
		figures = &Figures{Outcomes: map[api.Outcome]int{}, Errors: map[string]int{}, Missing: map[api.Reason]int{}, histogram: newHistogram()}
		report.Streams[name] = figures
	}
	return figures
}

// add counts one answer.
func (figures *Figures) add(answer api.Answer, latency time.Duration, deadline time.Duration) {
	figures.Outcomes[answer.Outcome]++
	figures.Hedges += answer.ExtraCalls
	for _, missing := range answer.Missing {
		figures.Missing[missing.Reason]++
	}
	if answer.Outcome == api.NotRun {
		return
	}
	_ = figures.histogram.RecordValue(latency.Microseconds())
	figures.answered++
	figures.covered += answer.Coverage
	if (answer.Outcome == api.Complete || answer.Outcome == api.Ran) && latency <= deadline {
		figures.InTime++
	}
}

func (report *Report) slice(at time.Duration) *Slice {
	index := int(at / sliceSpan)
	for len(report.Timeline) <= index {
		report.Timeline = append(report.Timeline, &Slice{
			At: config.Duration(time.Duration(len(report.Timeline)) * sliceSpan), histogram: newHistogram()})
	}
	return report.Timeline[index]
}

func (slice *Slice) add(answer api.Answer, latency time.Duration) {
	slice.Answers++
	slice.covered += answer.Coverage
	if answer.Outcome == api.Complete || answer.Outcome == api.Ran {
		slice.Whole++
	}
	_ = slice.histogram.RecordValue(latency.Microseconds())
}

// finish computes what is derived from the counts.
func (report *Report) finish(plan Plan) {
	measured := (plan.Duration - plan.WarmUp).Std().Seconds()
	for _, stream := range plan.Streams {
		figures := report.stream(stream.name())
		weight := stream.Weight
		if weight == 0 {
			weight = 1
		}
		report.Goodput += weight * float64(figures.InTime) / measured
	}
	for _, figures := range report.Streams {
		figures.P50, figures.P90 = quantile(figures.histogram, 50), quantile(figures.histogram, 90)
		figures.P99, figures.P999 = quantile(figures.histogram, 99), quantile(figures.histogram, 99.9)
		figures.Max = config.Duration(time.Duration(figures.histogram.Max()) * time.Microsecond)
		if figures.answered > 0 {
			figures.Coverage = figures.covered / float64(figures.answered)
		}
	}
	for _, slice := range report.Timeline {
		slice.P50, slice.P99 = quantile(slice.histogram, 50), quantile(slice.histogram, 99)
		if slice.Answers > 0 {
			slice.Coverage = slice.covered / float64(slice.Answers)
		}
	}
	if report.Needed > 0 {
		report.ExtraLoad = float64(report.Calls-report.Needed) / float64(report.Needed)
	}
	report.Broken = len(report.Violations)
	report.Violations = report.Violations[:min(len(report.Violations), shownCases)]
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) config.Duration {
	return config.Duration(time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond)
}

// Table prints the report.
func (report *Report) Table(writer io.Writer) {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "STREAM\tSENT\tIN TIME\tP50\tP90\tP99\tP99.9\tMAX\tCOVERAGE\tOUTCOMES\tMISSING\tERRORS")
	for _, name := range slices.Sorted(maps.Keys(report.Streams)) {
		figures := report.Streams[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%.5f\t%v\t%v\t%v\n", name, figures.Sent, figures.InTime,
			figures.P50, figures.P90, figures.P99, figures.P999, figures.Max, figures.Coverage, figures.Outcomes, figures.Missing, figures.Errors)
	}
	_ = table.Flush()
	fmt.Fprintf(writer, "goodput %.1f/s  calls %d (refused %d, needed %d, extra load %.4f)  peak connections %d (over the limit %d)\n",
		report.Goodput, report.Calls, report.Refused, report.Needed, report.ExtraLoad, report.PeakOpen, report.OverLimit)
	fmt.Fprintf(writer, "violations %d\n", report.Broken)
	for _, violation := range report.Violations {
		fmt.Fprintf(writer, "  %s: request %s: %s\n", violation.Kind, violation.Request, violation.Detail)
	}
}
