// Package buffer decides which responses of targets, or bodies of clients' requests, may hold memory on a VM. It has no input or output: the
// caller reads them.
package buffer
