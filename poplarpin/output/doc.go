// Package output prints the results of commands as tables or JSON.
package output
