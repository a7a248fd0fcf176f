// Package admit implements adaptive admission control: it limits the concurrent queries of an entry VM to one service, refuses
// low-priority classes first, divides the limit among client accounts, and tells refused clients when to retry.
package admit
