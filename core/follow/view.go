package follow

import "time"

// After a longer time between two ticks a VM counts as suspended; for as long after it, updates may be older than they seem.
const suspensionGap = time.Second

// View tracks up to which time the configuration that a VM knows was surely the newest one in the store. Calls count from their start,
// since an answer may reach a VM late, for instance after it was suspended.
type View struct {
	confirmedAt  time.Time // zero until the first confirmation
	watchStarted time.Time // start of the newest call that reads the configuration; zero after it failed
	failedAt     time.Time // of the last failed ping
	lastTick     time.Time // zero before the first tick
	trustFrom    time.Time // earlier updates of the source may have waited while this VM was suspended
}

// Ticked records that this VM runs; it is to be called several times in a second.
func (view *View) Ticked(now time.Time) {
	if view.suspended(now) {
		view.trustFrom = now.Add(suspensionGap)
	}
	view.lastTick = now
}

// suspended reports whether this VM has not run for some time before now.
func (view *View) suspended(now time.Time) bool {
	return !view.lastTick.IsZero() && now.Sub(view.lastTick) > suspensionGap
}

// ReadStarted records that a call was sent which lists or watches the configuration.
func (view *View) ReadStarted(now time.Time) { view.watchStarted = now }

// ReadEnded records the end of that call.
func (view *View) ReadEnded(ok bool) {
	if ok {
		view.confirm(view.watchStarted)
		return
	}
	view.watchStarted = time.Time{}
}

// Pinged records the end of a ping of the store that was sent at started. A ping confirms the view only while a watch is under way that was
// sent after the last failed ping: an older one may be on a dead connection. For such a one it reports true, so that the caller sends the
// watch again.
func (view *View) Pinged(now, started time.Time, ok bool) (restartWatch bool) {
	switch {
	case !ok:
		view.failedAt = now
	case view.watchStarted.IsZero() || view.watchStarted.After(started):
	case !view.watchStarted.After(view.failedAt):
		return true
	default:
		view.confirm(started)
	}
	return false
}

// SourceConfirmed records an update by a source whose own view has the given age. It says nothing shortly after this VM was suspended: the
// update may have been received meanwhile.
func (view *View) SourceConfirmed(now time.Time, age time.Duration) {
	if !view.suspended(now) && !now.Before(view.trustFrom) {
		view.confirm(now.Add(-age))
	}
}

func (view *View) confirm(at time.Time) {
	if at.After(view.confirmedAt) {
		view.confirmedAt = at
	}
}

// Age returns the time since the last confirmation; it reports false if there was none.
func (view *View) Age(now time.Time) (age time.Duration, ok bool) {
	if view.confirmedAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(view.confirmedAt), 0), true
}
