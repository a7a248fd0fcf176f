package capacity

import (
	"fmt"
	"math"
	"strings"
)

const (
	secondsPerDay            = 86_400.0
	connectionHolders        = 3.0 // VMs that may have connections to a target at the same time: its owner and followers
	connsPerHolder           = 2.0
	watchersPerFailureDomain = 2.0
	listIntervalSeconds      = 1.1 // between reads of the platform's VM list by a watcher
	listEntryBytes           = 110 // size of one VM's entry in the platform's list
	digestBytes              = 67  // size of one part's digest in the head of a release
	gossipFanout             = 4.0 // members that a VM tells of a release at once
	tailQuantile             = 0.99
	hedgedFraction           = 0.04 // part of the calls that are slower than the hedge delay
)

// row is a row of a table: a quantity, its estimate, the bound and the mechanism that keeps it.
type row struct {
	quantity, figure, bound, mechanism string
}

// Tables returns all tables as Markdown.
func (inputs Inputs) Tables() string {
	var text strings.Builder
	for _, table := range []struct {
		title string
		rows  []row
	}{
		{"Entry and owner (every node is both)", inputs.queryRows()},
		{"Tail", inputs.tailRows()},
		{"Control plane of one node", inputs.controlRows()},
		{"Watcher, counter, platform, operator", inputs.platformRows()},
		{"Target", inputs.targetRows()},
	} {
		fmt.Fprintf(&text, "### %s\n\n| quantity | figure | bound | mechanism |\n|---|---|---|---|\n", table.title)
		for _, row := range table.rows {
			fmt.Fprintf(&text, "| %s | %s | %s | %s |\n", row.quantity, row.figure, row.bound, row.mechanism)
		}
		text.WriteString("\n")
	}
	return inputs.roleTable() + text.String() + inputs.slopeTable()
}

func (inputs Inputs) slopeTable() string {
	var text strings.Builder
	text.WriteString("### Measured slopes\n\n| slope | points (x: y) | fit | command |\n|---|---|---|---|\n")
	for _, slope := range inputs.Slopes {
		var points []string
		for _, point := range slope.Points {
			points = append(points, fmt.Sprintf("%g: %g", point.X, point.Y))
		}
		intercept, gradient := slope.Fit()
		fmt.Fprintf(&text, "| %s, %s, against %s | %s | %.4g + %.4g x | `%s` |\n", slope.Name, slope.Unit, slope.Variable,
			strings.Join(points, "; "), intercept, gradient, slope.Command)
	}
	return text.String()
}

func (inputs Inputs) queryRows() []row {
	size := inputs.Size
	calls := size.QueriesPerSecond * size.FanOut / size.Nodes
	perCall := inputs.Estimate("callCPU", 1) / 1e6
	decisions := inputs.Estimate("runCPU", size.FanOut) * size.QueriesPerSecond / size.Nodes / 1e9
	callsPerTarget := size.QueriesPerSecond * size.FanOut / size.Targets
	targetsPerNode := size.Targets / size.Nodes
	return []row{
		{"queries per second, as entry", number(size.QueriesPerSecond / size.Nodes), "", "balancer"},
		{"calls per second, as owner", number(calls), "", "ownership by rendezvous hashing: " + number(targetsPerNode) + " targets per node"},
		{"calls per second to one target", number(callsPerTarget), "", "one owner per target, one multiplexed connection"},
		{"cores for calls, with the current one message per call", number(calls * perCall), "does not fit", "batching, below"},
		{"cores for the entry's decisions alone", number(decisions), "", "no I/O in decisions, no locks across services"},
		{"messages per second from entry to owners, each target hashed separately",
			number(size.QueriesPerSecond / size.Nodes * math.Min(size.FanOut, size.Nodes)), "does not fit", "owner groups, below"},
		{"messages per second from entry to owners, groups of 100 targets", number(size.QueriesPerSecond / size.Nodes * size.FanOut / 100), "",
			"`group` of a target: targets that queries use together have the same owner"},
		{"calls per message to a target, batched over 1 ms", number(callsPerTarget / 1000), "",
			"not implemented: the owner would send the calls of 1 ms as one request"},
		{"cores for calls if a batched call costs a tenth", number(calls * perCall / 10), "does not fit a small VM", "not implemented; to be measured"},
	}
}

// tailRows estimates which part of the calls may be late for 99% of the answers to be complete in time.
func (inputs Inputs) tailRows() []row {
	size := inputs.Size
	lateFraction := 1 - math.Pow(tailQuantile, 1/size.FanOut)
	return []row{
		{"part of the calls that may be late, for 99% complete answers", fmt.Sprintf("%.2g", lateFraction),
			fmt.Sprintf("%g ms", size.TailSeconds*1000), "not reached by any single target: needs hedging"},
		{"part of the hedges that may be late, if 4% of the calls are hedged", fmt.Sprintf("%.2g", lateFraction/hedgedFraction), "",
			"hedge in another failure domain, independent of the first call"},
		{"time left for a hedge sent at the p96 of calls of 10 ms", number(size.TailSeconds*1000-16) + " ms", "", "hedge delay derived from observed call latency"},
	}
}

func (inputs Inputs) controlRows() []row {
	size := inputs.Size
	changes := size.ChangesPerDay / secondsPerDay
	gossipBytes := inputs.Estimate("memberBytes", 1)
	headBytes := inputs.Estimate("parts", size.Targets) * digestBytes
	fetchedBytes := inputs.Estimate("fetched", size.Targets) * 1024
	adoptionCPU := inputs.Estimate("adopt", size.Targets) / 1e9
	membershipCPU := inputs.Estimate("memberCPU", size.Nodes) / 1e6
	ownershipCPU := size.RestartsPerDay / secondsPerDay * inputs.Estimate("table", 1) / 1e9
	controlBytes := gossipBytes + changes*(headBytes+fetchedBytes)
	memoryBytes := inputs.Estimate("held", size.Targets)*size.Targets + inputs.Estimate("memberMemory", size.Nodes)*1024 + inputs.Estimate("processMemory", 1)*(1<<20)
	bound := fmt.Sprintf("%.1f%% of a core", size.ControlCores*100)
	return []row{
		{"membership, bytes per second", number(gossipBytes), number(size.ControlBytesPerSecond), "2 messages per second, at most 8 updates in each"},
		{"releases, bytes per second", number(changes * (headBytes + fetchedBytes)), "", "only changed parts; head of " + number(headBytes) + " bytes"},
		{"control plane, bytes per second", number(controlBytes), fit(controlBytes, size.ControlBytesPerSecond), ""},
		{"the same in a burst of " + number(size.BurstChangesPerSecond) + " changes per second", number(gossipBytes + size.BurstChangesPerSecond*(headBytes+fetchedBytes)),
			fit(gossipBytes+size.BurstChangesPerSecond*(headBytes+fetchedBytes), size.ControlBytesPerSecond), "a VM pulls only the newest release, one pull at a time"},
		{"membership, part of a core", percent(membershipCPU), "", "work proportional to messages, not members"},
		{"releases, part of a core", percent(changes * adoptionCPU), "", "decoded parts are cached"},
		{"ownership changes, part of a core", percent(ownershipCPU), "", "a change moves only the keys that it affects"},
		{"control plane, part of a core", percent(membershipCPU + changes*adoptionCPU + ownershipCPU), fitWithin(membershipCPU+changes*adoptionCPU+ownershipCPU, size.ControlCores, bound), ""},
		{"memory, MB", number(memoryBytes / (1 << 20)), fit(memoryBytes, size.ControlMemoryBytes), "configuration, members and the idle process"},
		{"gossip rounds until all nodes know of a release", number(math.Ceil(math.Log(size.Nodes) / math.Log(gossipFanout))), "", "each node tells 4; a probe tells a missed node within 1 to 2 s"},
		{"time until in force, p99 in seconds (measured at the sizes below, fitted to gossip rounds)",
			fmt.Sprintf("%.2f", inputs.Estimate("inForce", math.Log(size.Nodes)/math.Log(gossipFanout))), fit(inputs.Estimate("inForce", math.Log(size.Nodes)/math.Log(gossipFanout)), size.InForceSeconds), "gossip; not measured beyond the sizes below"},
	}
}

func (inputs Inputs) platformRows() []row {
	size := inputs.Size
	watches := watchersPerFailureDomain * size.FailureDomains
	listReads := watches / listIntervalSeconds
	listBytes := (size.Nodes + size.Targets) * listEntryBytes / listIntervalSeconds
	noteCalls := size.ChangesPerDay / secondsPerDay * inputs.Estimate("callsPerNote", 1)
	return []row{
		{"pending watches at the platform", number(watches), "", "two watchers per failure domain, by rendezvous hashing"},
		{"reads of the VM list per second", number(listReads), "", "watchers only"},
		{"platform calls for changes per second", number(noteCalls), "", "one VM accepts a note; the others get it from peers"},
		{"reads at the platform per second", number(watches/30 + listReads + noteCalls), fit(watches/30+listReads+noteCalls, size.PlatformReadsPerSecond), "independent of the fleet size"},
		{"VM list, bytes per second at a watcher", number(listBytes), fit(listBytes, size.ControlBytesPerSecond), "does not fit: needs an incremental list or a longer interval"},
		{"status counter: reports per second", number(size.Nodes / size.FailureDomains / 5), "", "each VM reports to two status counters of its failure domain every 5 s"},
		{"VM starts per day, each reads the head and the parts once", number(size.RestartsPerDay), "", "from the platform, or from peers if it cannot be reached"},
		{"region partitioned for an hour", number(size.ChangesPerDay / 24), "changes behind", "partitioned VMs pull the newest release once the link is back"},
		{"claims of non-idempotent requests per second", "100 per VM", "several hundred writes in total", "does not fit a fleet that sends many: needs claims grouped by VM"},
	}
}

func (inputs Inputs) targetRows() []row {
	size := inputs.Size
	return []row{
		{"connections from owner and followers", number(connectionHolders * connsPerHolder), fit(connectionHolders*connsPerHolder, size.ConnectionsPerTarget), "independent of the number of nodes"},
		{"connections if every node called every target", number(size.Nodes), fit(size.Nodes, size.ConnectionsPerTarget), "why targets have owners"},
		{"health checks per second", "2", "", "from the owner only"},
		{"extra load", "at most 5%", "5%", "one budget per service and entry VM"},
	}
}

// fit returns the bound and whether the figure is within it.
func fit(figure, bound float64) string { return fitWithin(figure, bound, number(bound)) }

func fitWithin(figure, bound float64, text string) string {
	if figure <= bound {
		return text + ": fits"
	}
	return text + ": does not fit"
}

func percent(part float64) string { return fmt.Sprintf("%.2f%%", part*100) }

// number formats a figure with three significant digits; from 1000 to a million, as a whole number.
func number(value float64) string {
	switch {
	case value >= 1e6:
		return fmt.Sprintf("%.3g million", value/1e6)
	case value >= 1000:
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
