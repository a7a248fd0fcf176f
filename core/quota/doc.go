// Package quota decides which requests of client accounts may run within their quotas, which hold for all VMs together. Each VM owns an
// equal share of every quota and lends it to its pool, which gives tokens to the VMs that ask.
package quota
