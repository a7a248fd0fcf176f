// Package tcp reads the kernel's state of a TCP connection.
package tcp
