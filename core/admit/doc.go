// Package admit implements adaptive admission control: it limits the concurrent queries of an entry VM to one service and refuses
// low-priority classes first.
package admit
