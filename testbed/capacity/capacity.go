package capacity

import (
	"fmt"
	"math"
	"strings"
)

const (
	day           = 86_400.0
	owners        = 3.0 // VMs that may hold connections to one target at once
	connsPerOwner = 2.0
	watchersEach  = 2.0 // in a failure domain
	listInterval  = 1.1 // seconds between readings of the VM list by one watcher
	listLine      = 110 // bytes of one VM in the platform's list
	headDigest    = 67  // bytes of one part's digest in the head
	fanout        = 4.0 // members told of a release at once
	tailQuantile  = 0.99
	hedgedPart    = 0.04 // of calls, those slower than the hedge delay
)

// row is one line of a table: what, how much, the bound and what carries it.
type row struct {
	what, figure, bound, mechanism string
}

// Tables returns the tables in Markdown.
func (sheet Sheet) Tables() string {
	var text strings.Builder
	for _, table := range []struct {
		title string
		rows  []row
	}{
		{"Entry and owner (every node is both)", sheet.queryRows()},
		{"Tail", sheet.tailRows()},
		{"Control of one node", sheet.controlRows()},
		{"Watcher, counter, platform, operator", sheet.platformRows()},
		{"Target", sheet.targetRows()},
	} {
		fmt.Fprintf(&text, "### %s\n\n| what | figure | bound | mechanism |\n|---|---|---|---|\n", table.title)
		for _, row := range table.rows {
			fmt.Fprintf(&text, "| %s | %s | %s | %s |\n", row.what, row.figure, row.bound, row.mechanism)
		}
		text.WriteString("\n")
	}
	return sheet.roleTable() + text.String() + sheet.slopeTable()
}

func (sheet Sheet) slopeTable() string {
	var text strings.Builder
	text.WriteString("### Measured slopes\n\n| slope | points (x: y) | fit | command |\n|---|---|---|---|\n")
	for _, slope := range sheet.Slopes {
		var points []string
		for _, point := range slope.Points {
			points = append(points, fmt.Sprintf("%g: %g", point.X, point.Y))
		}
		constant, perX := slope.Fit()
		fmt.Fprintf(&text, "| %s, %s, against %s | %s | %.4g + %.4g x | `%s` |\n", slope.Name, slope.Unit, slope.Of,
			strings.Join(points, "; "), constant, perX, slope.Command)
	}
	return text.String()
}

func (sheet Sheet) queryRows() []row {
	size := sheet.Size
	calls := size.Queries * size.FanOut / size.Nodes
	perCall := sheet.At("callCPU", 1) / 1e6
	decisions := sheet.At("runCPU", size.FanOut) * size.Queries / size.Nodes / 1e9
	perServer := size.Queries * size.FanOut / size.Servers
	serversPerNode := size.Servers / size.Nodes
	return []row{
		{"queries a second, as entry", number(size.Queries / size.Nodes), "", "balancer"},
		{"calls a second, as owner", number(calls), "", "ownership by rendezvous hashing: " + number(serversPerNode) + " servers a node"},
		{"calls a second to one server", number(perServer), "", "one owner a server, one connection multiplexed"},
		{"cores for calls, one message a call as today", number(calls * perCall), "does not fit", "batching, below"},
		{"cores for the entry's decisions alone", number(decisions), "", "pure core, no locks across services"},
		{"messages entry to owners a second, each target hashed alone",
			number(size.Queries / size.Nodes * math.Min(size.FanOut, size.Nodes)), "does not fit", "owner groups, below"},
		{"messages entry to owners a second, groups of 100 targets", number(size.Queries / size.Nodes * size.FanOut / 100), "",
			"`group` of a target: targets that queries use together have one owner"},
		{"calls in one message to a server, batched over 1 ms", number(perServer / 1000), "",
			"not built: the owner would send the calls of 1 ms as one request"},
		{"cores for calls if a batched call costs a tenth", number(calls * perCall / 10), "does not fit a small VM", "not built; to be measured"},
	}
}

// tailRows works out which tail of single calls a whole answer needs.
func (sheet Sheet) tailRows() []row {
	size := sheet.Size
	late := 1 - math.Pow(tailQuantile, 1/size.FanOut)
	return []row{
		{"part of calls that may be late, for 99 in 100 whole answers", fmt.Sprintf("%.2g", late),
			fmt.Sprintf("%g ms", size.TailSeconds*1000), "no single server reaches this: hedging must"},
		{"part of hedges that may be late, if 4% of calls are hedged", fmt.Sprintf("%.2g", late/hedgedPart), "",
			"a hedge in another failure domain, independent of the first call"},
		{"time left to a hedge sent at the p96 of a call of 10 ms", number(size.TailSeconds*1000-16) + " ms", "", "hedge delay learned from calls"},
	}
}

func (sheet Sheet) controlRows() []row {
	size := sheet.Size
	changes := size.Changes / day
	gossip := sheet.At("memberBytes", 1)
	head := sheet.At("parts", size.Servers) * headDigest
	fetched := sheet.At("fetched", size.Servers) * 1024
	adopt := sheet.At("adopt", size.Servers) / 1e9
	membership := sheet.At("memberCPU", size.Nodes) / 1e6
	churn := size.Restarts / day * sheet.At("table", 1) / 1e9
	bytes := gossip + changes*(head+fetched)
	memory := sheet.At("held", size.Servers)*size.Servers + sheet.At("memberMemory", size.Nodes)*1024 + sheet.At("processMemory", 1)*(1<<20)
	bound := fmt.Sprintf("%.1f%% of a core", size.ControlCores*100)
	return []row{
		{"membership, bytes a second", number(gossip), number(size.ControlBytes), "2 messages a second, at most 8 updates on each"},
		{"releases, bytes a second", number(changes * (head + fetched)), "", "only changed parts; " + number(head) + " bytes of head"},
		{"control, bytes a second", number(bytes), verdict(bytes, size.ControlBytes), ""},
		{"the same in a burst of " + number(size.Burst) + " changes a second", number(gossip + size.Burst*(head+fetched)),
			verdict(gossip+size.Burst*(head+fetched), size.ControlBytes), "a VM that pulls takes the newest only, one pull at a time"},
		{"membership, part of a core", percent(membership), "", "work in proportion to messages, not members"},
		{"releases, part of a core", percent(changes * adopt), "", "decoded parts are kept"},
		{"changes of owners, part of a core", percent(churn), "", "a change touches the keys that it concerns"},
		{"control, part of a core", percent(membership + changes*adopt + churn), verdictOf(membership+changes*adopt+churn, size.ControlCores, bound), ""},
		{"memory, MB", number(memory / (1 << 20)), verdict(memory, size.ControlMemory), "configuration, members and the process at rest"},
		{"rounds to tell all nodes of a release", number(math.Ceil(math.Log(size.Nodes) / math.Log(fanout))), "", "each tells 4; who is missed learns by a probe within a second or two"},
		{"time until in force, p99 seconds (measured at the sizes below, fitted on rounds)",
			fmt.Sprintf("%.2f", sheet.At("inForce", math.Log(size.Nodes)/math.Log(fanout))), verdict(sheet.At("inForce", math.Log(size.Nodes)/math.Log(fanout)), size.InForce), "gossip; not measured beyond the sizes below"},
	}
}

func (sheet Sheet) platformRows() []row {
	size := sheet.Size
	watches := watchersEach * size.Domains
	lists := watches / listInterval
	listBytes := (size.Nodes + size.Servers) * listLine / listInterval
	notes := size.Changes / day * sheet.At("callsPerNote", 1)
	return []row{
		{"watches waiting at the platform", number(watches), "", "two watchers a failure domain, by rendezvous hashing"},
		{"readings of the VM list a second", number(lists), "", "watchers only"},
		{"calls for changes a second", number(notes), "", "one VM accepts a note; the others learn from peers"},
		{"reads at the platform a second", number(watches/30 + lists + notes), verdict(watches/30+lists+notes, size.PlatformReads), "constant in the fleet's size"},
		{"VM list, bytes a second at a watcher", number(listBytes), verdict(listBytes, size.ControlBytes), "does not fit: needs a list that tells changes only, or a longer interval"},
		{"counter: reports a second", number(size.Nodes / size.Domains / 5), "", "each VM reports to two counters of its domain every 5 s"},
		{"starting VMs a day that read head and parts once", number(size.Restarts), "", "from the platform, else from peers"},
		{"region cut for an hour", number(size.Changes / 24), "changes behind", "the VMs that are cut off take the newest in one pull when it heals"},
		{"claims of non-idempotent requests a second", "100 a VM", "several hundred writes in all", "does not fit a fleet that sends many: needs claims grouped by VM"},
	}
}

func (sheet Sheet) targetRows() []row {
	size := sheet.Size
	return []row{
		{"connections from owner and followers", number(owners * connsPerOwner), verdict(owners*connsPerOwner, size.Connections), "independent of the number of nodes"},
		{"connections if every node called every server", number(size.Nodes), verdict(size.Nodes, size.Connections), "why targets have owners"},
		{"health questions a second", "2", "", "from the owner alone"},
		{"extra load", "at most 5%", "5%", "one budget a service and entry VM"},
	}
}

func verdict(figure, bound float64) string { return verdictOf(figure, bound, number(bound)) }

func verdictOf(figure, bound float64, text string) string {
	if figure <= bound {
		return text + ": fits"
	}
	return text + ": does not fit"
}

func percent(part float64) string { return fmt.Sprintf("%.2f%%", part*100) }

// number prints a figure with three digits that count.
func number(value float64) string {
	switch {
	case value >= 1e6:
		return fmt.Sprintf("%.3g million", value/1e6)
	case value >= 1000:
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
