// Package admin serves the stand-ins' fault switches and counters over HTTP.
package admin
