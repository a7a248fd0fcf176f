// Package every does something again and again.
package every
