// Package certificate secures connections with TLS 1.3 and takes replaced keys and certificates without a restart.
package certificate
