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
	maxLatency         = 2 * time.Minute        // longer ones may be missing from the histograms
	intervalLength     = 500 * time.Millisecond // of the timeline
	maxShownViolations = 20                     // the total stays in Report.Broken
)

// Figures holds the results of one stream.
type Figures struct {
	Sent     int                 `json:"sent"`
	Outcomes map[api.Outcome]int `json:"outcomes"`
	Missing  map[api.Reason]int  `json:"missing,omitempty"` // shards of partial answers, by reason
	Errors   map[string]int      `json:"errors,omitempty"`  // requests without an answer, by api.Error kind; "cut" without an api.Error
	InTime   int                 `json:"inTime"`            // answers Complete or Ran within the deadline
	Coverage float64             `json:"coverage"`          // mean over all answers except NotRun
	P50      config.Duration     `json:"p50"`
	P90      config.Duration     `json:"p90"`
	P99      config.Duration     `json:"p99"`
	P999     config.Duration     `json:"p999"`
	Max      config.Duration     `json:"max"`
	Hedges   int                 `json:"hedges"` // sum of the answers' ExtraCalls: hedges, retries and probes

	histogram   *hdrhistogram.Histogram
	coverageSum float64
	answered    int
}

// Interval holds the results of the requests that arrived in one interval of the timeline.
type Interval struct {
	At        config.Duration `json:"at"`
	Answers   int             `json:"answers"`
	Succeeded int             `json:"whole"`
	P50       config.Duration `json:"p50"`
	P99       config.Duration `json:"p99"`
	Coverage  float64         `json:"coverage"` // mean over all answers

	histogram   *hdrhistogram.Histogram
	coverageSum float64
}

// Report is the result of an experiment.
type Report struct {
	Streams       map[string]*Figures `json:"streams"`
	Goodput       float64             `json:"goodput"`   // weighted answers in time per second
	Calls         int64               `json:"calls"`     // calls that targets accepted
	Refused       int64               `json:"refused"`   // calls that targets refused
	RequiredCalls int64               `json:"needed"`    // calls without hedges and retries
	ExtraLoad     float64             `json:"extraLoad"` // calls beyond RequiredCalls, as a fraction of RequiredCalls
	PeakOpen      int                 `json:"peakOpen"`  // most connections open at once at one target
	OverLimit     int64               `json:"overLimit"` // connections that targets closed because of their limit
	Violations    []check.Violation   `json:"violations"`
	Broken        int                 `json:"broken"` // total number of violations
	Timeline      []*Interval         `json:"timeline"`
	RecoveredIn   config.Duration     `json:"recoveredIn"` // from the first fault to the last arrival with a partial answer
}

// newHistogram returns a histogram of latencies in microseconds with 3 significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func newReport() *Report { return &Report{Streams: map[string]*Figures{}} }

// stream returns the figures of a stream and adds them if they are absent.
func (report *Report) stream(name string) *Figures {
	figures, ok := report.Streams[name]
	if !ok {
		figures = &Figures{Outcomes: map[api.Outcome]int{}, Errors: map[string]int{}, Missing: map[api.Reason]int{}, histogram: newHistogram()}
		report.Streams[name] = figures
	}
	return figures
}

// add counts one answer; one with the outcome NotRun counts neither for latency nor for coverage.
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
	figures.coverageSum += answer.Coverage
	if (answer.Outcome == api.Complete || answer.Outcome == api.Ran) && latency <= deadline {
		figures.InTime++
	}
}

// interval returns the interval that contains an arrival time and extends the timeline up to it.
func (report *Report) interval(at time.Duration) *Interval {
	index := int(at / intervalLength)
	for len(report.Timeline) <= index {
		report.Timeline = append(report.Timeline, &Interval{
			At: config.Duration(time.Duration(len(report.Timeline)) * intervalLength), histogram: newHistogram()})
	}
	return report.Timeline[index]
}

func (interval *Interval) add(answer api.Answer, latency time.Duration) {
	interval.Answers++
	interval.coverageSum += answer.Coverage
	if answer.Outcome == api.Complete || answer.Outcome == api.Ran {
		interval.Succeeded++
	}
	_ = interval.histogram.RecordValue(latency.Microseconds())
}

// computeTotals computes goodput, quantiles, means and extra load from the counts, and truncates the list of violations.
func (report *Report) computeTotals(plan Plan) {
	measuredSeconds := (plan.Duration - plan.WarmUp).Std().Seconds()
	for _, stream := range plan.Streams {
		figures := report.stream(stream.name())
		weight := stream.Weight
		if weight == 0 {
			weight = 1
		}
		report.Goodput += weight * float64(figures.InTime) / measuredSeconds
	}
	for _, figures := range report.Streams {
		figures.P50, figures.P90 = quantile(figures.histogram, 50), quantile(figures.histogram, 90)
		figures.P99, figures.P999 = quantile(figures.histogram, 99), quantile(figures.histogram, 99.9)
		figures.Max = config.Duration(time.Duration(figures.histogram.Max()) * time.Microsecond)
		if figures.answered > 0 {
			figures.Coverage = figures.coverageSum / float64(figures.answered)
		}
	}
	for _, interval := range report.Timeline {
		interval.P50, interval.P99 = quantile(interval.histogram, 50), quantile(interval.histogram, 99)
		if interval.Answers > 0 {
			interval.Coverage = interval.coverageSum / float64(interval.Answers)
		}
	}
	if report.RequiredCalls > 0 {
		report.ExtraLoad = float64(report.Calls-report.RequiredCalls) / float64(report.RequiredCalls)
	}
	report.Broken = len(report.Violations)
	report.Violations = report.Violations[:min(len(report.Violations), maxShownViolations)]
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) config.Duration {
	return config.Duration(time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond)
}

// Table writes the report as a table, followed by the totals and the violations.
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
		report.Goodput, report.Calls, report.Refused, report.RequiredCalls, report.ExtraLoad, report.PeakOpen, report.OverLimit)
	fmt.Fprintf(writer, "violations %d\n", report.Broken)
	for _, violation := range report.Violations {
		fmt.Fprintf(writer, "  %s: request %s: %s\n", violation.Kind, violation.Request, violation.Detail)
	}
}
