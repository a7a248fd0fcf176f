// Package buffer decides which responses of targets may hold memory on a VM. It has no input or output: the caller reads the responses.
package buffer
