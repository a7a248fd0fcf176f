// Package corpustest reads the recordings of landed builds in the testdata folder of a test's package. "testbed corpus COMMIT" makes them.
package corpustest
