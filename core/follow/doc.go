// Package follow selects the source of configuration and targets of an entry VM, the platform's store or a peer, and caches them.
package follow
