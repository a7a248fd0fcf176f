// Package seed fixes the seed of property tests, so that every run generates the same cases and gives the same result.
package seed
