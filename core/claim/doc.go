// Package claim lets an entry VM run a non-idempotent request at most once, guarded by one versioned object in the platform.
package claim
