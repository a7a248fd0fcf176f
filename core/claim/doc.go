// Package claim decides how an entry VM runs a non-idempotent request at most once, guarded by one object in the platform.
package claim
