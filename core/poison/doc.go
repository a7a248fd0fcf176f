// Package poison recognizes requests that crash the targets that run them, so that they are not run again and again.
package poison
