package poison

import (
	"bytes"
	"slices"
	"time"
)

const (
	maxAgeMillis    = 24 * 3600 * 1000
	maxTargetBytes  = 512
	maxReportTarget = 4 * maxCrashes // a report names at most this many crashes

	recentTime       = time.Minute // a suspect counts as recent for this time after its last news
	maxRecentReports = 64
	maxQuarantines   = 16 // a message names at most this many quarantines; the next one names others
)

// CrashReport is a Crash as VMs exchange it.
type CrashReport struct {
	Target        string `json:"server"`
	SentMillis    int64  `json:"sent"`    // since the call was sent
	CrashedMillis int64  `json:"crashed"` // since the crash
}

// Report carries a VM's knowledge of a request to other VMs. Times are ages, as the clocks of VMs differ.
type Report struct {
	Fingerprint    Fingerprint   `json:"request"`
	Crashes        []CrashReport `json:"crashes,omitempty"`
	AnsweredMillis int64         `json:"answered,omitempty"` // since its last answer; 0 for none
	BeganMillis    int64         `json:"began,omitempty"`    // since its last quarantine began; 0 for none
	LeftMillis     int64         `json:"left,omitempty"`     // of that quarantine
}

// Validate checks a decoded report.
func (report Report) Validate() error {
	if len(report.Crashes) > maxReportTarget || min(report.AnsweredMillis, report.BeganMillis, report.LeftMillis) < 0 ||
		max(report.AnsweredMillis, report.BeganMillis, report.LeftMillis) > maxAgeMillis {
		return &Error{"decode", InvalidReport, "a time or the number of crashes is out of range"}
	}
	for _, crash := range report.Crashes {
		if crash.Target == "" || len(crash.Target) > maxTargetBytes || crash.CrashedMillis < 0 || crash.SentMillis < crash.CrashedMillis || crash.SentMillis > maxAgeMillis {
			return &Error{"decode", InvalidReport, "a crash has no target, or a time out of range"}
		}
	}
	return nil
}

// Reports returns the reports on some requests.
func (tracker *Tracker) Reports(now time.Time, fingerprints []Fingerprint) []Report {
	var reports []Report
	for _, fingerprint := range fingerprints {
		if suspect, ok := tracker.suspects[fingerprint]; ok {
			reports = append(reports, suspect.report(now, fingerprint))
		}
	}
	return reports
}

// RecentReports returns the reports on the requests in quarantine and on some recent suspects, for a VM that may have missed earlier
// reports.
func (tracker *Tracker) RecentReports(now time.Time) []Report {
	reports := tracker.Quarantines(now)
	for fingerprint, suspect := range tracker.suspects {
		if !now.Before(suspect.until) && now.Sub(suspect.changedAt) < recentTime && len(reports) < maxRecentReports {
			reports = append(reports, suspect.report(now, fingerprint))
		}
	}
	return reports
}

// View is the state of a suspect in dumps.
type View struct {
	Fingerprint    Fingerprint `json:"fingerprint"`
	CrashedTargets int         `json:"crashedTargets"` // at most maxCrashes
	Quarantined    bool        `json:"quarantined"`    // it must not run
}

// Views returns the views of all suspects, ordered by fingerprint.
func (tracker *Tracker) Views(now time.Time) []View {
	views := make([]View, 0, len(tracker.suspects))
	for fingerprint, suspect := range tracker.suspects {
		views = append(views, View{fingerprint, len(suspect.crashes), now.Before(suspect.until)})
	}
	slices.SortFunc(views, func(a, b View) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return views
}

// Quarantines returns the reports on the requests in quarantine, to be repeated while they last.
func (tracker *Tracker) Quarantines(now time.Time) []Report {
	var reports []Report
	for fingerprint, suspect := range tracker.suspects {
		if now.Before(suspect.until) && len(reports) < maxQuarantines {
			reports = append(reports, suspect.report(now, fingerprint))
		}
	}
	return reports
}

func (suspect *suspect) report(now time.Time, fingerprint Fingerprint) Report {
	report := Report{Fingerprint: fingerprint}
	for _, crash := range suspect.crashes {
		report.Crashes = append(report.Crashes, CrashReport{crash.Target, age(now, crash.SentAt), age(now, crash.CrashedAt)})
	}
	if !suspect.answeredAt.IsZero() {
		report.AnsweredMillis = max(age(now, suspect.answeredAt), 1)
	}
	if !suspect.began.IsZero() {
		report.BeganMillis, report.LeftMillis = max(age(now, suspect.began), 1), max(suspect.until.Sub(now).Milliseconds(), 0)
	}
	return report
}

func age(now, at time.Time) int64 { return min(max(now.Sub(at).Milliseconds(), 0), maxAgeMillis) }

// Merge applies another VM's report and reports whether it was news. Reports may arrive late, twice and in any order.
func (tracker *Tracker) Merge(now time.Time, report Report) bool {
	if len(report.Crashes) == 0 && report.BeganMillis == 0 && tracker.suspects[report.Fingerprint] == nil {
		return false // an answer to a request that is no suspect here
	}
	at := func(millis int64) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	suspect, state := tracker.suspectOf(now, report.Fingerprint), ""
	if report.AnsweredMillis > 0 && at(report.AnsweredMillis).After(suspect.answeredAt) {
		if suspect.answered(at(report.AnsweredMillis)) {
			state = "cleared"
		}
	}
	began, until := at(report.BeganMillis), now.Add(time.Duration(report.LeftMillis)*time.Millisecond)
	if report.LeftMillis > 0 && began.After(suspect.answeredAt) && until.Sub(suspect.until) > tellInterval {
		suspect.began, suspect.until = began, until
		state = "quarantined"
	}
	for _, reported := range report.Crashes {
		crash := Crash{reported.Target, at(reported.SentMillis), at(reported.CrashedMillis)}
		if !suspect.add(crash) {
			continue
		}
		if judged := tracker.judge(now, report.Fingerprint, suspect, crash); state != "quarantined" {
			state = judged
		}
	}
	if state == "" {
		return false
	}
	tracker.changed(now, report.Fingerprint, suspect, state)
	return true
}

// answered applies an answer that another VM got and reports whether it outweighs something.
func (suspect *suspect) answered(at time.Time) bool {
	crashes := suspect.crashes
	suspect.crashes, suspect.answeredAt = nil, at
	for _, crash := range crashes {
		suspect.add(crash)
	}
	if !suspect.began.IsZero() && !suspect.began.After(at) {
		suspect.began, suspect.until = time.Time{}, time.Time{}
		return true
	}
	return len(suspect.crashes) < len(crashes)
}
