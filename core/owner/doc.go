// Package owner assigns each target to one entry VM of its failure domain by rendezvous hashing.
package owner
