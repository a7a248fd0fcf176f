package capacity

import (
	"fmt"
	"strings"
)

const (
	observationBytes      = 120.0 // memory of the observations of one target at an entry VM
	reportBytes           = 150.0 // memory of one VM's report at a status counter
	reportIntervalSeconds = 5.0
	targetsPerGroup       = 100.0 // targets with the same group have the same owner
	queryMemorySlope      = "runMemory"
)

// role is a row of the table of roles.
type role struct {
	name, state, messages, cpu, memory string
}

// roleTable returns the table of what each role holds, sends, computes and keeps in memory at the fleet size.
func (inputs Inputs) roleTable() string {
	var text strings.Builder
	text.WriteString("### Roles\n\n| role | state | messages per second | CPU | memory |\n|---|---|---|---|---|\n")
	for _, role := range inputs.roles() {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %s |\n", role.name, role.state, role.messages, role.cpu, role.memory)
	}
	text.WriteString("\n")
	return text.String()
}

func (inputs Inputs) roles() []role {
	size := inputs.Size
	queries := size.QueriesPerSecond / size.Nodes
	calls := queries * size.FanOut
	inFlight := queries * size.TailSeconds
	perDomain := size.Nodes / size.FailureDomains
	return []role{
		{"entry", number(inFlight) + " queries in flight; observations of " + number(size.Targets) + " targets",
			number(queries) + " queries, " + number(calls/targetsPerGroup) + " batches sent and at least as many results",
			number(inputs.Estimate("runCPU", size.FanOut)*queries/1e9) + " cores for decisions",
			megabytes(inFlight*inputs.Estimate(queryMemorySlope, size.FanOut) + observationBytes*size.Targets)},
		{"owner", number(size.Targets/size.Nodes) + " targets: queue, connections, health",
			number(calls) + " calls", number(calls*inputs.Estimate("callCPU", 1)/1e6) + " cores as built: does not fit", "not measured per target"},
		{"watcher, two per failure domain", "the platform's VM list", "1 pending watch, " + number(1/listIntervalSeconds) + " list reads",
			"not measured", megabytes((size.Nodes + size.Targets) * listEntryBytes)},
		{"status counter, two per failure domain", number(perDomain) + " reports", number(perDomain/reportIntervalSeconds) + " reports received",
			"not measured", megabytes(perDomain * reportBytes)},
		{"platform", "head, " + number(inputs.Estimate("parts", size.Targets)) + " parts, notes, claims",
			number(watchersPerFailureDomain*size.FailureDomains/listIntervalSeconds+size.ChangesPerDay/secondsPerDay*inputs.Estimate("callsPerNote", 1)) + " calls", "the organisation's",
			megabytes(inputs.Estimate("parts", size.Targets)*digestBytes + inputs.Estimate("parts", size.Targets)*inputs.Estimate("fetched", size.Targets)*1024)},
		{"target", number(connectionHolders*connsPerHolder) + " connections", number(size.QueriesPerSecond*size.FanOut/size.Targets) + " calls", "the target's", "the target's"},
		{"operator", "none", number(size.ChangesPerDay/secondsPerDay) + " notes", "one VM proposes a note: not measured separately", "two copies of the configuration during a proposal"},
		{"every node, control", "members, configuration", "2, and release pulls", percent(inputs.Estimate("memberCPU", size.Nodes)/1e6 + size.ChangesPerDay/secondsPerDay*inputs.Estimate("adopt", size.Targets)/1e9),
			megabytes(inputs.Estimate("held", size.Targets)*size.Targets + inputs.Estimate("memberMemory", size.Nodes)*1024 + inputs.Estimate("processMemory", 1)*(1<<20))},
	}
}

func megabytes(bytes float64) string { return fmt.Sprintf("%.3g MB", bytes/(1<<20)) }
