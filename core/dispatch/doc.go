// Package dispatch queues an owner's calls to one target by class and age, limits the calls in flight and refuses calls that can't meet
// their deadline.
package dispatch
