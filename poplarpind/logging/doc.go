// Package logging writes JSON log lines through a buffer, so that a slow output never blocks a request.
package logging
