package capacity

import (
	"fmt"
	"strings"
)

const (
	trackedBytes  = 120.0 // of what an entry VM knows of one target
	reportBytes   = 150.0 // of one VM's report at a counter
	reportSeconds = 5.0   // between reports
	groupTargets  = 100.0 // targets with one owner, see a target's group
	queryMemory   = "runMemory"
)

// role is one line of the table of roles.
type role struct {
	name, state, messages, cpu, memory string
}

// roleTable says for each role what it holds, sends, computes and keeps at the target's size.
func (sheet Sheet) roleTable() string {
	var text strings.Builder
	text.WriteString("### Roles\n\n| role | state | messages a second | CPU | memory |\n|---|---|---|---|---|\n")
	for _, role := range sheet.roles() {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %s |\n", role.name, role.state, role.messages, role.cpu, role.memory)
	}
	text.WriteString("\n")
	return text.String()
}

func (sheet Sheet) roles() []role {
	size := sheet.Size
	queries := size.Queries / size.Nodes
	calls := queries * size.FanOut
	inFlight := queries * size.TailSeconds
	perDomain := size.Nodes / size.Domains
	return []role{
		{"entry", number(inFlight) + " queries in flight; what calls showed of " + number(size.Servers) + " targets",
			number(queries) + " queries, " + number(calls/groupTargets) + " batches out and as many results or more",
			number(sheet.At("runCPU", size.FanOut)*queries/1e9) + " cores for decisions",
			megabytes(inFlight*sheet.At(queryMemory, size.FanOut) + trackedBytes*size.Servers)},
		{"owner", number(size.Servers/size.Nodes) + " targets: queue, connections, health",
			number(calls) + " calls", number(calls*sheet.At("callCPU", 1)/1e6) + " cores as built: does not fit", "not measured by target"},
		{"watcher, two a domain", "the platform's VM list", "1 watch waiting, " + number(1/listInterval) + " lists",
			"not measured", megabytes((size.Nodes + size.Servers) * listLine)},
		{"status counter, two a domain", number(perDomain) + " reports", number(perDomain/reportSeconds) + " reports in",
			"not measured", megabytes(perDomain * reportBytes)},
		{"platform", "head, " + number(sheet.At("parts", size.Servers)) + " parts, notes, claims",
			number(watchersEach*size.Domains/listInterval+size.Changes/day*sheet.At("callsPerNote", 1)) + " calls", "the organisation's",
			megabytes(sheet.At("parts", size.Servers)*headDigest + sheet.At("parts", size.Servers)*sheet.At("fetched", size.Servers)*1024)},
		{"target", number(owners*connsPerOwner) + " connections", number(size.Queries*size.FanOut/size.Servers) + " calls", "the target's", "the target's"},
		{"operator", "none", number(size.Changes/day) + " notes", "one VM proposes a note: not measured apart", "the configuration twice while it proposes"},
		{"every node, control", "members, configuration", "2, and pulls of releases", percent(sheet.At("memberCPU", size.Nodes)/1e6 + size.Changes/day*sheet.At("adopt", size.Servers)/1e9),
			megabytes(sheet.At("held", size.Servers)*size.Servers + sheet.At("memberMemory", size.Nodes)*1024 + sheet.At("processMemory", 1)*(1<<20))},
	}
}

func megabytes(bytes float64) string { return fmt.Sprintf("%.3g MB", bytes/(1<<20)) }
