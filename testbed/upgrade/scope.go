package upgrade

import "fmt"

// scope runs the fakes of package platformtest outside a test.
type scope struct{ ends []func() }

// failure is the value with which Fatal panics.
type failure string

// Helper implements platformtest.T.
func (scope *scope) Helper() {}

// Cleanup implements platformtest.T.
func (scope *scope) Cleanup(end func()) { scope.ends = append(scope.ends, end) }

// Fatal implements platformtest.T.
func (scope *scope) Fatal(args ...any) { panic(failure(fmt.Sprint(args...))) }

// run runs a function and then its cleanups, and returns a failure as an error.
func (scope *scope) run(play func() error) (err error) {
	defer func() {
		for i := len(scope.ends) - 1; i >= 0; i-- {
			scope.ends[i]()
		}
	}()
	defer func() {
		if cause := recover(); cause != nil {
			detail, ok := cause.(failure)
			if !ok {
				panic(cause)
			}
			err = &Error{"fakes", FleetFailed, string(detail)}
		}
	}()
	return play()
}
