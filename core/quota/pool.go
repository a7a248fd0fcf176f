package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	poolSilence    = 2*loanInterval + 50*time.Millisecond // a pool counts as lost after this time without a message; pools send one each loanInterval
	probeInterval  = time.Second                          // a preferred VM that does not answer gets a message this often
	poolCandidates = 3                                    // VMs that are asked in turn; without an answer of any, this VM is its own pool
	firstAnswer    = 300 * time.Millisecond               // this VM becomes its own pool if the candidates have not answered after this time
)

// PoolChooser chooses a VM's pool: the first VM in the order of preference that answers. The choice doesn't depend on who reaches the
// store, so that an outage of the store moves no shares.
type PoolChooser struct {
	self     string
	ranked   []string                 // best first, with this VM
	heard    map[string]time.Duration // last message of each VM
	probed   map[string]time.Duration
	pool     string
	lackFrom time.Duration // since when no pool is chosen
}

// NewPoolChooser returns a chooser without candidates.
func NewPoolChooser(self string, now time.Duration) *PoolChooser {
	return &PoolChooser{self: self, heard: map[string]time.Duration{}, probed: map[string]time.Duration{}, lackFrom: now}
}

// SetRanked replaces the VMs of the failure domain, in the order in which every VM prefers them as pools.
func (chooser *PoolChooser) SetRanked(ranked []string) {
	if slices.Equal(ranked, chooser.ranked) {
		return
	}
	chooser.ranked = slices.Clone(ranked)
	left := func(vm string, _ time.Duration) bool { return !slices.Contains(ranked, vm) }
	maps.DeleteFunc(chooser.heard, left)
	maps.DeleteFunc(chooser.probed, left)
}

// Heard records a message of a VM that shows that it can be a pool.
func (chooser *PoolChooser) Heard(now time.Duration, vm string) { chooser.heard[vm] = now }

// Lost records that the link to a VM was lost or could not be opened.
func (chooser *PoolChooser) Lost(vm string) { delete(chooser.heard, vm) }

// Choose returns the pool, empty while the candidates have not answered yet, and the VMs to send a message to, which shows whether they
// answer.
func (chooser *PoolChooser) Choose(now time.Duration) (pool string, probes []string) {
	chosen, asked := "", 0
	for _, vm := range chooser.ranked {
		if vm == chooser.self || asked == poolCandidates {
			break
		}
		asked++
		if at, ok := chooser.heard[vm]; ok && now-at <= poolSilence {
			chosen = vm
			break
		}
		if at, ok := chooser.probed[vm]; !ok || now-at >= probeInterval {
			chooser.probed[vm] = now
			probes = append(probes, vm)
		}
	}
	if chosen == "" && (asked == 0 && len(chooser.ranked) > 0 || chooser.pool == chooser.self) {
		chosen = chooser.self
	}
	if chosen == "" {
		if chooser.pool != "" {
			chooser.lackFrom = now
		}
		if len(chooser.ranked) > 0 && now-chooser.lackFrom >= firstAnswer {
			chosen = chooser.self
		}
	}
	chooser.pool = chosen
	return chosen, probes
}
