// Package evict decides which connections of clients are closed when all of them together hold too much of a VM.
//
// It answers clients that are not under control: connections that stay silent, heads and bodies that arrive slowly or in great numbers, answers that
// nobody reads. Ordinary callers send a short request soon after they connect and read its answer, so that connections that have waited longest for a
// request, or hold most, are closed first. A request that has arrived completely is never ended for another one.
package evict
