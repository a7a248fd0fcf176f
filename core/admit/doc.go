// Package admit limits the queries that an entry VM runs at once for one service, the lowest class refused first.
package admit
