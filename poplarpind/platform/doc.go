// Package platform speaks to the platform's object API and VM list.
package platform
