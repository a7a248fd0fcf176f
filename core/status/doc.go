// Package status collects which release each entry VM has in force and summarizes it by failure domain.
package status
