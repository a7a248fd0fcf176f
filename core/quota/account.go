package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tokens are tokens of an account that other VMs granted.
type tokens struct {
	count int
	until time.Duration
}

// account is the state of one account's quota on this VM. level and full are two levels of one bucket: full counts a share as full from
// the moment it comes to this VM, level as empty until no window contains tokens that another VM produced from it. Neither exceeds depth,
// and level never exceeds full, so that at most depth plus what is filled in is used in any window.
type account struct {
	Account
	offset        float64 // in [0, 1), by the account's name; spreads the units of accounts over VMs
	depth         int     // largest level of the bucket
	level         float64 // tokens produced here and not used
	full          float64
	fresh         int           // units in full of shares that came recently
	settlesAt     time.Duration // the account itself came recently, so that until then all shares count as fresh
	filledAt      time.Duration
	promisedUntil time.Duration      // time up to which tokens are promised to refused requests
	refusedBy     map[string]refusal // the latest of each pool
	stock         []tokens           // granted by others, by the end of their term
	usage         float64            // tokens used here recently, decaying over usageSpan
	usageAt       time.Duration
	counts        Counts
}

// refusal is a pool's answer that an account has no token there.
type refusal struct {
	until   time.Duration // the pool may have a token from then on, so that it is asked again
	retryAt time.Duration // a refused client is let in then
}

// Counts counts the requests of an account by verdict.
type Counts struct {
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
	Unknown  int64 `json:"unknown"`
}

func newAccount(name string, settlesAt, now time.Duration) *account {
	offset := float64(xxhash.Sum64String(name)>>11) / (1 << 53)
	return &account{offset: offset, settlesAt: settlesAt, filledAt: now, refusedBy: map[string]refusal{}}
}

// share is the right of the VM at a rank among all VMs to produce tokens.
type share struct{ rank, vms int }

// units returns the part of a share in the depth of an account's bucket. The units of all shares add up to the whole depth. VMs are
// ranked by failure domain, so that a pool of a whole failure domain gets its part to within one unit.
func (node *Node) units(account *account, share share) int {
	if share.vms == 0 {
		return 0
	}
	total := max(math.Floor((1-node.burstInRate())*account.Burst+slackShare*node.limits.Slack), 1)
	dealt := func(rank int) float64 { return math.Floor(float64(rank)*total/float64(share.vms) + account.offset) }
	return int(dealt(share.rank+1) - dealt(share.rank))
}

// burstInRate returns the part of the burst that is produced steadily over each window instead of being held in the bucket. Any window may
// contain the burst, so that an account which always asks for more gets it in each; the bucket then needs the slack, to bear that requests
// arrive at random.
func (node *Node) burstInRate() float64 { return min(node.limits.Slack/fullBurstSlack, 1) }

// fillRate returns the tokens per second that this VM produces for an account.
func (node *Node) fillRate(account *account) float64 {
	burst := node.burstInRate() * account.Burst / node.limits.Window.Seconds()
	return (account.RatePerSecond + burst) * node.fraction * (1 + rateShare*node.limits.Overshoot)
}

// fill adds the tokens produced until now.
func (node *Node) fill(account *account, now time.Duration) {
	if now > account.filledAt {
		produced := node.fillRate(account) * (now - account.filledAt).Seconds()
		account.level = min(account.level+produced, float64(account.depth))
		account.full = min(account.full+produced, float64(account.depth))
		account.filledAt = now
	}
	if account.settlesAt > 0 && now >= account.settlesAt {
		account.settlesAt = 0
		_, account.fresh = node.bucketSize(account)
		account.release()
	}
}

// release makes the tokens usable that no fresh share holds.
func (account *account) release() {
	account.level = max(account.level, account.full-float64(account.fresh))
}

// addShare adds a share, which is fresh, to an account's bucket.
func (node *Node) addShare(account *account, share share) {
	units := node.units(account, share)
	account.depth += units
	account.fresh += units
	account.full += float64(units)
}

// removeShare cuts an account's bucket by a share.
func (node *Node) removeShare(account *account, share share, settled bool) {
	units := node.units(account, share)
	account.depth -= units
	if !settled || account.settlesAt > 0 {
		account.fresh -= units
		account.full -= float64(units)
	}
	account.cut()
}

// cut cuts an account's bucket to its depth.
func (account *account) cut() {
	account.full = max(min(account.full, float64(account.depth)), 0)
	account.level = min(account.level, account.full)
}

// bucketSize returns the depth of an account's bucket and the part of it that is fresh.
func (node *Node) bucketSize(account *account) (depth, fresh int) {
	add := func(production production) {
		units := node.units(account, production.share)
		depth += units
		if !production.settled || account.settlesAt > 0 {
			fresh += units
		}
	}
	add(node.produced)
	for _, loan := range node.loans {
		add(loan.production)
	}
	return depth, fresh
}

// resize changes an account's quota and cuts its bucket to the new depth.
func (node *Node) resize(account *account, configured Account) {
	account.Account = configured
	depth, fresh := node.bucketSize(account)
	account.full -= float64(max(account.fresh-fresh, 0))
	account.depth, account.fresh = depth, fresh
	account.cut()
}

// take takes up to count tokens out of an account's bucket.
func (node *Node) take(account *account, now time.Duration, count int) int {
	node.fill(account, now)
	taken := min(count, int(account.level))
	account.level -= float64(taken)
	account.full -= float64(taken)
	return taken
}

// promise returns the time until the account's next token that is not yet promised, which it promises, and the time until the next one.
func (node *Node) promise(account *account, now time.Duration) Refused {
	rate := node.fillRate(account)
	if rate <= 0 {
		return Refused{maxPromise, maxPromise}
	}
	node.fill(account, now)
	interval := time.Duration(min(1/rate, maxPromise.Seconds()) * float64(time.Second))
	first := now + time.Duration(max(1-account.level, 0)*float64(interval))
	next := max(first, account.promisedUntil)
	nextToken := min(max(first-now, time.Millisecond), maxPromise)
	if next-now >= maxPromise {
		return Refused{maxPromise, nextToken}
	}
	account.promisedUntil = next + interval
	return Refused{max(next-now, time.Millisecond), nextToken}
}

// takeStock takes a token that another VM granted; it returns the end of its term.
func (account *account) takeStock(now time.Duration) (time.Duration, bool) {
	for len(account.stock) > 0 && account.stock[0].until <= now {
		account.stock = account.stock[1:]
	}
	if len(account.stock) == 0 {
		return 0, false
	}
	first := &account.stock[0]
	if first.count--; first.count == 0 {
		defer func() { account.stock = account.stock[1:] }()
	}
	return first.until, true
}

// addStock keeps granted tokens for later requests.
func (account *account) addStock(now time.Duration, added tokens) {
	if added.count <= 0 || added.until <= now {
		return
	}
	at := len(account.stock)
	for at > 0 && account.stock[at-1].until > added.until {
		at--
	}
	if at > 0 && account.stock[at-1].until == added.until {
		account.stock[at-1].count += added.count
		return
	}
	account.stock = append(account.stock[:at], append([]tokens{added}, account.stock[at:]...)...)
}

// recordUse counts a used token.
func (account *account) recordUse(now time.Duration) {
	account.usage = account.recentUse(now)*usageSpan.Seconds() + 1
	account.usageAt = now
}

// recentUse returns the tokens used here per second.
func (account *account) recentUse(now time.Duration) float64 {
	return account.usage * math.Exp(-(now-account.usageAt).Seconds()/usageSpan.Seconds()) / usageSpan.Seconds()
}

// ahead returns the number of tokens to ask for requests that are expected soon.
func (account *account) ahead(now, term time.Duration) int {
	expected := account.recentUse(now) * term.Seconds()
	if expected < minAhead {
		return 0
	}
	return int(expected)
}
