// Package output prints results as tables or JSON.
package output
