// Package tcp tells what the kernel knows of a TCP connection.
package tcp
