// Package dispatch queues an owner's calls to one target by class and age and refuses those that cannot end in time.
package dispatch
