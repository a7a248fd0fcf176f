package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"poplarpin.dev/core/rpc"
)

// production is the use of a share on this VM.
type production struct {
	share   share
	since   time.Duration
	settled bool // no window contains tokens that another VM produced from the share
}

// loan is the share that a VM has lent to this one.
type loan struct {
	production // without share if the loan has ended
	end        time.Duration
	echo       time.Duration // the latest reading that the lender returned
	heard      time.Duration // when the lender last renewed the loan
	serial     uint64        // of the events that send readings to the lender
}

// shares holds what this VM produces, and to whom it lends its own share.
type shares struct {
	produced    production // of this VM's own share; without share while it is lent or this VM may not use it yet
	loans       map[string]*loan
	earliestEnd time.Duration // no loan ends earlier
	settlesAt   time.Duration // no share settles earlier
	shareCounts map[int]int   // of the shares that are produced here, by number of VMs
	fraction    float64       // sum of these shares
	lastSerial  uint64

	ownFrom       time.Duration // from which this VM may lend and use its share
	listKnown     bool
	listed        []VM // by failure domain and name
	listedAt      time.Duration
	unlisted      bool                 // the list lacks this VM
	namedAt       time.Duration        // when the list last named this VM
	absentSince   map[VM]time.Duration // VMs that disappeared from the list and still count
	count         int                  // VMs according to the source of store updates
	countAt       time.Duration
	ownShare      share
	ownShareUntil time.Duration // ownShare is computed anew at this time

	pool          string // this VM's pool; empty for none
	otherPools    []string
	poolHeard     time.Duration // when the pool was chosen or last sent something
	readingAt     time.Duration
	seenReading   rpc.ClockReading
	lentTo        string
	lentUntil     time.Duration
	unsteadyUntil time.Duration // until then this VM as a pool may lack shares that its lenders are about to lend
}

// newShares returns the shares of a VM that starts: its former process may have lent its share, which then stays in use for loanTerm.
func newShares(now time.Duration) shares {
	return shares{loans: map[string]*loan{}, shareCounts: map[int]int{}, absentSince: map[VM]time.Duration{}, readingAt: now - 2*loanInterval,
		ownFrom: now + loanTerm, unsteadyUntil: now + 2*loanTerm}
}

// advance brings what this VM produces up to date.
func (node *Node) advance(now time.Duration) {
	node.expireLoans(now)
	if node.listKnown && now >= node.ownShareUntil {
		node.computeOwnShare(now)
	}
	produced := share{}
	if node.ownsShare(now) && now >= node.lentUntil {
		produced = node.ownShare
	}
	node.changeShare(now, &node.produced, produced)
	node.settleShares(now)
}

// ownsShare reports whether this VM may use or lend its share. One that has vanished from the list keeps it until others no longer count it, less the
// term of a loan.
func (node *Node) ownsShare(now time.Duration) bool {
	return node.listKnown && now >= node.ownFrom && !node.dropped(now)
}

// dropped reports whether others may no longer count this VM, since the list lacks it.
func (node *Node) dropped(now time.Duration) bool {
	return node.unlisted && now >= node.namedAt+maxListAge-loanTerm
}

// changeShare replaces one of the shares that are produced here.
func (node *Node) changeShare(at time.Duration, current *production, next share) {
	if current.share == next {
		return
	}
	for _, name := range node.names {
		account := node.accounts[name]
		node.fill(account, at)
		node.removeShare(account, current.share, current.settled)
		node.addShare(account, next)
	}
	if before := current.share.vms; before > 0 {
		if node.shareCounts[before]--; node.shareCounts[before] == 0 {
			delete(node.shareCounts, before)
		}
	}
	if next.vms > 0 {
		node.shareCounts[next.vms]++
		node.settlesAt = min(node.settlesAt, at+node.settleSpan())
	}
	*current = production{share: next, since: at}
	node.fraction = 0
	for _, vms := range slices.Sorted(maps.Keys(node.shareCounts)) {
		node.fraction += float64(node.shareCounts[vms]) / float64(vms)
	}
}

// settleSpan returns the time after which no window contains tokens that another VM produced from a share before it came here.
func (node *Node) settleSpan() time.Duration { return node.limits.Window + 2*node.tokenTerm }

// settleShares lets the shares that have been here for settleSpan count fully.
func (node *Node) settleShares(now time.Duration) {
	if now < node.settlesAt {
		return
	}
	node.settlesAt = math.MaxInt64
	node.settleShare(now, &node.produced)
	for _, loan := range node.loans {
		node.settleShare(now, &loan.production)
	}
}

func (node *Node) settleShare(now time.Duration, production *production) {
	if production.share.vms == 0 || production.settled {
		return
	}
	if at := production.since + node.settleSpan(); at > now {
		node.settlesAt = min(node.settlesAt, at)
		return
	}
	for _, name := range node.names {
		account := node.accounts[name]
		node.fill(account, now) // may let the account settle, which counts the shares that are still fresh
		if account.settlesAt == 0 {
			account.fresh -= node.units(account, production.share)
			account.release()
		}
	}
	production.settled = true
}

// expireLoans ends the loans whose term has passed, each at its own time.
func (node *Node) expireLoans(now time.Duration) {
	if now < node.earliestEnd {
		return
	}
	before := node.fraction
	var ended []*loan
	node.earliestEnd = math.MaxInt64
	for _, loan := range node.loans {
		if loan.share.vms == 0 {
			continue
		}
		if loan.end <= now {
			ended = append(ended, loan)
		} else {
			node.earliestEnd = min(node.earliestEnd, loan.end)
		}
	}
	slices.SortFunc(ended, func(a, b *loan) int { return int(a.end - b.end) })
	for _, loan := range ended {
		node.changeShare(loan.end, &loan.production, share{})
	}
	if node.fraction < unsteadyLoss*before {
		node.unsteadyUntil = max(node.unsteadyUntil, now+loanTerm)
	}
}

// SetVMs replaces the list of VMs.
func (node *Node) SetVMs(now time.Duration, vms VMs) []Action {
	node.advance(now)
	if !node.listKnown && !vms.Settled {
		node.ownFrom = max(node.ownFrom, now+SettleTime)
		node.schedule(node.ownFrom, event{kind: lendDue})
	}
	if node.dropped(now) && !vms.Unlisted { // back on the list
		node.ownFrom = max(node.ownFrom, now+SettleTime)
		node.schedule(node.ownFrom, event{kind: lendDue})
	}
	node.unlisted, node.namedAt = vms.Unlisted, vms.NamedAt
	listed := slices.SortedFunc(slices.Values(vms.Listed), compareVMs)
	for _, vm := range node.listed {
		if _, ok := slices.BinarySearchFunc(listed, vm, compareVMs); !ok {
			node.absentSince[vm] = now
		}
	}
	for _, vm := range listed {
		delete(node.absentSince, vm)
	}
	node.listKnown, node.listed, node.listedAt = true, listed, now-vms.Age
	if vms.Count >= node.count || now-node.countAt > maxListAge {
		node.count, node.countAt = vms.Count, now
	}
	maps.DeleteFunc(node.lastAsks, func(name string, _ *recentAsks) bool {
		return !slices.ContainsFunc(listed, func(vm VM) bool { return vm.Name == name })
	})
	node.computeOwnShare(now)
	node.advance(now)
	return node.takeActions()
}

func compareVMs(a, b VM) int {
	return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
}

// computeOwnShare computes this VM's share. VMs that left the list count for maxListAge more, so that no VM that still sees the old list
// owns the same share; where the list is old, more VMs are assumed.
func (node *Node) computeOwnShare(now time.Duration) {
	counted := slices.Clone(node.listed)
	until := node.listedAt + maxListAge
	if until <= now {
		until = math.MaxInt64
	}
	for vm, since := range node.absentSince {
		if since+maxListAge <= now {
			delete(node.absentSince, vm)
			continue
		}
		counted = append(counted, vm)
		until = min(until, since+maxListAge)
	}
	slices.SortFunc(counted, compareVMs)
	rank := slices.IndexFunc(counted, func(vm VM) bool { return vm.Name == node.self })
	vms := max(len(counted), node.count)
	if rank < 0 { // the caller's list lacks this VM
		rank, vms = vms, vms+1
	}
	if now-node.listedAt >= maxListAge {
		vms = int(math.Ceil(float64(vms) * oldListFactor))
	}
	node.ownShare, node.ownShareUntil = share{rank, vms}, until
}

// SetPool replaces this VM's pool, which may be this VM itself or none, and the pools of other failure domains in order.
func (node *Node) SetPool(now time.Duration, pool string, otherPools []string) []Action {
	node.advance(now)
	node.otherPools = slices.Clone(otherPools)
	if pool != node.pool {
		node.pool, node.poolHeard, node.readingAt, node.seenReading = pool, now, now-2*loanInterval, rpc.ClockReading{}
		if pool == node.self {
			node.unsteadyUntil = max(node.unsteadyUntil, now+loanTerm)
		}
		node.sendOffer()
		if node.lentUntil > now {
			node.schedule(node.lentUntil, event{kind: lendDue})
		}
	}
	node.startTicking(now)
	node.pruneLanes()
	return node.takeActions()
}

// Probe returns the message that shows whether a VM answers.
func (node *Node) Probe(vm string) []Action {
	return []Action{Send{vm, rpc.QuotaLoan{Rank: node.ownShare.rank, VMs: max(node.ownShare.vms, 1)}}}
}

// hasRemotePool reports whether another VM is this VM's pool.
func (node *Node) hasRemotePool() bool { return node.pool != "" && node.pool != node.self }

// poolSilent reports whether this VM has no pool, or hasn't heard from it for so long that it lives on its own share.
func (node *Node) poolSilent(now time.Duration) bool {
	return node.pool == "" || node.hasRemotePool() && now-node.poolHeard > 2*loanInterval
}

// offer repeats the offer to the pool while it sends no readings.
func (node *Node) offer(now time.Duration) {
	if now >= node.lentUntil || now-node.readingAt > loanInterval {
		node.sendOffer()
	}
	node.schedule(now+loanInterval, event{kind: offerDue})
}

func (node *Node) sendOffer() {
	if node.hasRemotePool() {
		node.send(node.pool, rpc.QuotaLoan{Rank: node.ownShare.rank, VMs: max(node.ownShare.vms, 1)})
	}
}

// receiveReading lends this VM's share to its pool, whose reading the loan returns. A reading that is older than a known one is ignored.
func (node *Node) receiveReading(now time.Duration, from string, reading rpc.ClockReading) {
	old := reading.Incarnation == node.seenReading.Incarnation && reading.Micros <= node.seenReading.Micros
	if !node.hasRemotePool() || from != node.pool || reading.Incarnation == 0 || old {
		return
	}
	node.seenReading, node.readingAt, node.poolHeard = reading, now, now
	mayLend := node.ownsShare(now) && (node.lentTo == from || now >= node.lentUntil)
	if !mayLend {
		return
	}
	node.lentTo, node.lentUntil = from, now+loanTerm
	node.changeShare(now, &node.produced, share{})
	node.send(from, rpc.QuotaLoan{Echo: reading, Rank: node.ownShare.rank, VMs: node.ownShare.vms})
}

// receiveLoan takes a loan whose term has not passed, counted from this VM's reading that the lender returned; it answers an offer, or
// a loan that came too late, with a new reading.
func (node *Node) receiveLoan(now time.Duration, from string, message rpc.QuotaLoan) {
	at, ok := node.own(now, message.Echo)
	if !ok || at+loanTerm <= now || from == node.self {
		node.send(from, rpc.QuotaLoan{Reading: node.reading(now)})
		return
	}
	known := node.loans[from]
	if known == nil {
		if len(node.loans) >= maxLoans {
			return
		}
		node.lastSerial++
		known = &loan{serial: node.lastSerial}
		node.loans[from] = known
		node.schedule(now+loanInterval, event{kind: readingDue, vm: from, id: known.serial})
	}
	if at < known.echo {
		return // delayed or doubled
	}
	known.echo, known.end, known.heard = at, at+loanTerm, now
	node.earliestEnd = min(node.earliestEnd, known.end)
	node.changeShare(now, &known.production, share{message.Rank, message.VMs})
}

// sendReading sends a reading to a lender, and goes on for a time after the loan has ended, since a single message may be lost.
func (node *Node) sendReading(now time.Duration, vm string, serial uint64) {
	known := node.loans[vm]
	if known == nil || known.serial != serial {
		return
	}
	if known.share.vms == 0 && now-known.heard > 3*loanTerm {
		node.changeShare(now, &known.production, share{})
		delete(node.loans, vm)
		return
	}
	node.send(vm, rpc.QuotaLoan{Reading: node.reading(now)})
	node.schedule(now+loanInterval, event{kind: readingDue, vm: vm, id: serial})
}
