// Package certificatetest issues certificates for tests.
package certificatetest
