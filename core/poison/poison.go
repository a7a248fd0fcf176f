package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	minTargets      = 3                // a request is treated with caution once it has crashed this many different targets since its last answer
	minRounds       = 2                // a request is quarantined once its targets have crashed in this many attempts, one after the other: when many targets crash at once, all their requests look guilty
	roundGap        = time.Second      // a call starts a new round if it is sent this long after the last crash
	firstQuarantine = 10 * time.Minute // the first quarantine of a request lasts this long
	maxQuarantine   = time.Hour        // no quarantine lasts longer
	suspectTTL      = 10 * time.Minute // a suspect is forgotten after this time without news
	quarantineTTL   = 2 * time.Hour    // a quarantine that follows within this time of the last one lasts longer
	clearedTTL      = 10 * time.Second // an answer outweighs older reports of other VMs for this time
	maxSuspects     = 1024             // at most this many suspects are kept; the one without news for the longest time makes room
	maxCrashes      = 16               // at most this many crashes of one request are kept
	maxTells        = 5                // the same news is told to other VMs at most this often, as messages get lost
	fewTells        = 2                // news of a suspect with fewer than minTargets crashes is told at most this often, as most such requests are innocent
	maxNews         = 256              // at most this many news wait for TakeNews; more are dropped
	tellInterval    = time.Second      // the same news is told again after this time at the earliest
	maxEvents       = 256              // at most this many events wait for TakeEvents; more are dropped
)

// Crash is the end of a target while it ran a request.
type Crash struct {
	Target    string    // its incarnation
	SentAt    time.Time // of the call
	CrashedAt time.Time
}

// Verdict says how a request may run.
type Verdict struct {
	RefuseFor time.Duration // for which it must not run; 0 if it may
	Cautious  bool          // it may have crashed targets: call only one target until one has answered
}

// Event is a change of a request's state, for logs and metrics.
type Event struct {
	Fingerprint Fingerprint
	State       string // "suspected", "quarantined" or "cleared"
	Targets     int    // that crashed
	Left        time.Duration
}

// suspect is the state of a request whose targets crashed.
type suspect struct {
	crashes    []Crash   // since its last answer, of different targets, by the time of the crash
	answeredAt time.Time // zero for never
	began      time.Time // of the last quarantine; zero for none
	until      time.Time
	changedAt  time.Time
	tells      int
	toldAt     time.Time
}

// Tracker is one VM's knowledge of suspects; that of all VMs converges by reports.
type Tracker struct {
	suspects map[Fingerprint]*suspect
	news     []Fingerprint        // not yet told to other VMs
	unsaved  map[Fingerprint]bool // whose quarantine this VM began or ended, and has not saved
	events   []Event
}

// Quarantine is a time in which a request must not run, to be saved where restarts of all VMs do not lose it.
type Quarantine struct {
	Fingerprint  Fingerprint
	Began, Until time.Time
}

// New returns a tracker without suspects.
func New() *Tracker {
	return &Tracker{suspects: map[Fingerprint]*suspect{}, unsaved: map[Fingerprint]bool{}}
}

// Len returns the number of suspects.
func (tracker *Tracker) Len() int { return len(tracker.suspects) }

// Check returns how a request may run. Until roundGap after several targets have crashed, a further crash would not show whether it was the
// request, so that it must not run either.
func (tracker *Tracker) Check(now time.Time, fingerprint Fingerprint) Verdict {
	suspect, ok := tracker.suspects[fingerprint]
	if !ok {
		return Verdict{}
	}
	verdict := Verdict{RefuseFor: max(suspect.until.Sub(now), 0)}
	if len(suspect.crashes) >= minTargets {
		last := suspect.crashes[len(suspect.crashes)-1].CrashedAt
		verdict.Cautious, verdict.RefuseFor = true, max(verdict.RefuseFor, roundGap-now.Sub(last))
	}
	return verdict
}

// Crashed records that a target crashed while it ran a request.
func (tracker *Tracker) Crashed(now time.Time, fingerprint Fingerprint, crash Crash) {
	suspect := tracker.suspectOf(now, fingerprint)
	if !suspect.add(crash) {
		return
	}
	tracker.changed(now, fingerprint, suspect, tracker.judge(now, fingerprint, suspect, crash))
	tracker.tell(now, fingerprint, suspect)
}

// Answered records that a target ran a request and answered, which clears the request.
func (tracker *Tracker) Answered(now time.Time, fingerprint Fingerprint) {
	suspect, ok := tracker.suspects[fingerprint]
	if !ok || len(suspect.crashes) == 0 && suspect.began.IsZero() {
		return
	}
	if !suspect.began.IsZero() {
		tracker.unsaved[fingerprint] = true
	}
	suspect.clear(now)
	tracker.changed(now, fingerprint, suspect, "cleared")
	tracker.tell(now, fingerprint, suspect)
}

// suspectOf returns the state of a request, which it creates if necessary.
func (tracker *Tracker) suspectOf(now time.Time, fingerprint Fingerprint) *suspect {
	found, ok := tracker.suspects[fingerprint]
	if !ok {
		if len(tracker.suspects) >= maxSuspects {
			tracker.dropOldest()
		}
		found = &suspect{changedAt: now}
		tracker.suspects[fingerprint] = found
	}
	return found
}

// dropOldest removes the suspect without news for the longest time, one in quarantine only if there are no others.
func (tracker *Tracker) dropOldest() {
	var oldest Fingerprint
	var found *suspect
	for fingerprint, suspect := range tracker.suspects {
		if found == nil || suspect.began.IsZero() != found.began.IsZero() && suspect.began.IsZero() ||
			suspect.began.IsZero() == found.began.IsZero() && suspect.changedAt.Before(found.changedAt) {
			oldest, found = fingerprint, suspect
		}
	}
	delete(tracker.suspects, oldest)
}

// add records a crash and reports whether it is one of a further target.
func (suspect *suspect) add(crash Crash) bool {
	if !crash.SentAt.After(suspect.answeredAt) && !suspect.answeredAt.IsZero() ||
		slices.ContainsFunc(suspect.crashes, func(known Crash) bool { return known.Target == crash.Target }) {
		return false
	}
	if len(suspect.crashes) >= maxCrashes {
		suspect.crashes = suspect.crashes[:maxCrashes-1]
	}
	suspect.crashes = append(suspect.crashes, crash)
	slices.SortFunc(suspect.crashes, func(a, b Crash) int { return a.CrashedAt.Compare(b.CrashedAt) })
	return true
}

// judge begins a quarantine if a new crash completes the evidence, and returns the state from now on. Crashes of calls that were in flight
// when a quarantine began do not prolong it.
func (tracker *Tracker) judge(now time.Time, fingerprint Fingerprint, suspect *suspect, crash Crash) string {
	if !suspect.guilty() || !crash.CrashedAt.After(suspect.until) {
		return "suspected"
	}
	span := firstQuarantine
	if !suspect.began.IsZero() {
		span = min(2*suspect.until.Sub(suspect.began), maxQuarantine)
	}
	suspect.began, suspect.until = now, now.Add(span)
	tracker.unsaved[fingerprint] = true
	return "quarantined"
}

// guilty reports whether the crashes suffice for a quarantine.
func (suspect *suspect) guilty() bool {
	if len(suspect.crashes) < minTargets {
		return false
	}
	rounds, last := 1, suspect.crashes[0].CrashedAt
	for _, crash := range suspect.crashes[1:] {
		if crash.SentAt.Sub(last) >= roundGap {
			rounds, last = rounds+1, crash.CrashedAt
		}
	}
	return rounds >= minRounds
}

// clear forgets the crashes and ends the quarantine.
func (suspect *suspect) clear(answeredAt time.Time) {
	suspect.crashes, suspect.answeredAt, suspect.began, suspect.until = nil, answeredAt, time.Time{}, time.Time{}
}

// Unsaved returns the requests whose quarantine this VM has begun or ended and not saved since.
func (tracker *Tracker) Unsaved() []Fingerprint { return slices.Collect(maps.Keys(tracker.unsaved)) }

// Saved records that the quarantine of a request, or its end, was saved.
func (tracker *Tracker) Saved(fingerprint Fingerprint) { delete(tracker.unsaved, fingerprint) }

// Quarantine returns the quarantine of a request and reports whether it is in one.
func (tracker *Tracker) Quarantine(now time.Time, fingerprint Fingerprint) (Quarantine, bool) {
	suspect, ok := tracker.suspects[fingerprint]
	if !ok || !now.Before(suspect.until) {
		return Quarantine{}, false
	}
	return Quarantine{fingerprint, suspect.began, suspect.until}, true
}

// Restore applies a saved quarantine, which a VM has lost if it restarted.
func (tracker *Tracker) Restore(now time.Time, quarantine Quarantine) {
	left := min(quarantine.Until.Sub(now), maxQuarantine)
	if left <= 0 {
		return
	}
	suspect := tracker.suspectOf(now, quarantine.Fingerprint)
	if !suspect.began.IsZero() || suspect.answeredAt.After(quarantine.Began) {
		return // newer than the saved one
	}
	suspect.began, suspect.until = quarantine.Began, now.Add(left)
	tracker.changed(now, quarantine.Fingerprint, suspect, "quarantined")
	tracker.tell(now, quarantine.Fingerprint, suspect)
}

// changed notes a change of a suspect for TakeEvents.
func (tracker *Tracker) changed(now time.Time, fingerprint Fingerprint, suspect *suspect, state string) {
	suspect.changedAt = now
	if len(tracker.events) < maxEvents {
		tracker.events = append(tracker.events, Event{fingerprint, state, len(suspect.crashes), max(suspect.until.Sub(now), 0)})
	}
}

// tell notes news for other VMs.
func (tracker *Tracker) tell(now time.Time, fingerprint Fingerprint, suspect *suspect) {
	suspect.tells, suspect.toldAt = 1, now
	tracker.addNews(fingerprint)
}

func (tracker *Tracker) addNews(fingerprint Fingerprint) {
	if len(tracker.news) < maxNews && !slices.Contains(tracker.news, fingerprint) {
		tracker.news = append(tracker.news, fingerprint)
	}
}

// Tick repeats news that this VM told and forgets suspects without news.
func (tracker *Tracker) Tick(now time.Time) {
	for fingerprint, suspect := range tracker.suspects {
		switch {
		case now.Sub(suspect.changedAt) > suspect.timeToLive():
			delete(tracker.suspects, fingerprint)
		case suspect.tells > 0 && suspect.tells < suspect.maxTells() && now.Sub(suspect.toldAt) >= tellInterval:
			suspect.tells, suspect.toldAt = suspect.tells+1, now
			tracker.addNews(fingerprint)
		}
	}
}

// timeToLive returns the time without news after which a suspect is forgotten.
func (suspect *suspect) timeToLive() time.Duration {
	switch {
	case !suspect.began.IsZero():
		return suspect.until.Sub(suspect.began) + quarantineTTL
	case len(suspect.crashes) > 0:
		return suspectTTL
	}
	return clearedTTL
}

// maxTells returns how often other VMs hear the same news of a suspect.
func (suspect *suspect) maxTells() int {
	if len(suspect.crashes) < minTargets && suspect.began.IsZero() {
		return fewTells
	}
	return maxTells
}

// HasNews reports whether there is news for other VMs.
func (tracker *Tracker) HasNews() bool { return len(tracker.news) > 0 }

// TakeNews returns the requests with news for other VMs since the last call, and clears the list.
func (tracker *Tracker) TakeNews() []Fingerprint {
	news := tracker.news
	tracker.news = nil
	return news
}

// TakeEvents returns the changes since the last call and clears them.
func (tracker *Tracker) TakeEvents() []Event {
	events := tracker.events
	tracker.events = nil
	return events
}
