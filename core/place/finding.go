package place

import "time"

const (
	slowFinding  = 2.0 // times what is typical, from which a call's latency is worth telling to other VMs
	doubtedFrom  = 1.3 // slowness from which every answer of a server is worth telling, as it may be well again
	mostFindings = 256 // kept until they are told; later ones of the same span add little
)

// Observation is what one call has shown of a server's pace, for other VMs that call the same server.
type Observation struct {
	Endpoint     string  `json:"server"`
	LatencyRatio float64 `json:"pace"` // how much longer the call took than is typical of its route
}

// Valid reports whether a finding that was decoded can be used.
func (finding Observation) Valid() bool {
	return finding.Endpoint != "" && finding.LatencyRatio > 0 && finding.LatencyRatio <= maxSlowness
}

// note keeps a finding for other VMs if it would change what they expect.
func (fleet *Fleet) note(server *known, pace float64) {
	if server.Peer || pace < slowFinding && server.slowness < doubtedFrom || pace <= 0 || len(fleet.findings) >= mostFindings {
		return
	}
	fleet.findings = append(fleet.findings, Observation{Endpoint: server.ID, LatencyRatio: pace})
}

// HasObservations reports whether there is something to tell.
func (fleet *Fleet) HasObservations() bool { return len(fleet.findings) > 0 }

// TakeObservations returns what calls have shown since it was last asked.
func (fleet *Fleet) TakeObservations() []Observation {
	findings := fleet.findings
	fleet.findings = nil
	return findings
}

// ApplyObservation takes a finding of another VM like a call of this one. It reports whether calls now go past the server, or to it again.
func (fleet *Fleet) ApplyObservation(now time.Time, finding Observation) bool {
	server, ok := fleet.servers[finding.Endpoint]
	if !ok {
		return false
	}
	before := server.remembered(now)
	server.learn(now, finding.LatencyRatio)
	return (before < crossFactor) != (server.slowness < crossFactor)
}
