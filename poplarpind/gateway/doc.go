// Package gateway serves client requests on one VM: it keeps the configuration and the targets in step with the platform's
// store, and carries out what the state machines of packages fanout and follow decide.
package gateway
