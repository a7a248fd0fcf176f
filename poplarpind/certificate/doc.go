// Package certificate provides TLS 1.3 configurations whose keys and certificates can be replaced without a restart.
package certificate
