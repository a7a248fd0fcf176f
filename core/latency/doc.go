// Package latency learns from calls how fast and how willing targets are.
package latency
