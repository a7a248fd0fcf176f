// Package place tracks the endpoints of every service and chooses the one that a call goes to.
package place
