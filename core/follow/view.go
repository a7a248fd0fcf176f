package follow

import "time"

// View tracks up to which time the configuration that a VM knows was surely the newest one in the store. Calls count from their start,
// since an answer may reach a VM late, for instance after it was suspended.
type View struct {
	confirmedAt  time.Time // zero until the first confirmation
	watchStarted time.Time // start of the newest call that reads the configuration; zero after it failed
	failedAt     time.Time // of the last failed ping
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

// SourceConfirmed records an update by a source whose own view has the given age.
func (view *View) SourceConfirmed(now time.Time, age time.Duration) { view.confirm(now.Add(-age)) }

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
