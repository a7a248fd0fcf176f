package admit

import (
	"math"
	"time"
)

const (
	fairFraction  = 0.8                   // every account is admitted up to this part of the limit
	shareFraction = 0.9                   // an account that has had just its share is admitted up to this part of the limit
	lowRatio      = 0.5                   // up to this part of its share an account is admitted up to the whole limit
	deviationPart = 0.25                  // an account may exceed its share by this part of the root of the share, since requests arrive at random
	spareRequests = 1                     // beyond the limit, for accounts up to lowRatio while another has had more than its share
	shareMemory   = 8 * time.Second       // time constant of forgetting; 3 s held too few requests to tell accounts apart on VMs with 5/s
	decayInterval = 50 * time.Millisecond // minimum time between two decays, each of which touches every account
	forgetAfter   = 20 * time.Second      // accounts without a request for so long are forgotten
)

// Account is the client account of a request.
type Account struct {
	Name   string // empty for requests without an account where others have one
	Weight float64
}

// accountUse is what an account has had lately.
type accountUse struct {
	weight      float64
	admitted    float64 // requests, decaying
	lastRequest time.Time
}

// shares divides capacity among the accounts of one priority by weight. The virtual time of an account is its decaying number of admitted
// requests over its weight: an idle account gains no credit beyond a full share, and a busy one is at its share again within a few times
// shareMemory.
type shares struct {
	accounts map[string]*accountUse
	decayed  time.Time // time of the last decay
}

func newShares() *shares { return &shares{accounts: map[string]*accountUse{}} }

// request records a request of an account and returns its use.
func (shares *shares) request(now time.Time, account *Account) *accountUse {
	shares.decay(now)
	use, ok := shares.accounts[account.Name]
	if !ok {
		use = &accountUse{}
		shares.accounts[account.Name] = use
	}
	use.weight, use.lastRequest = account.Weight, now
	if !(use.weight > 0) {
		use.weight = 1
	}
	return use
}

// decay lets admissions fade and forgets idle accounts.
func (shares *shares) decay(now time.Time) {
	elapsed := now.Sub(shares.decayed)
	if elapsed < decayInterval {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	shares.decayed = now
	for name, use := range shares.accounts {
		use.admitted *= factor
		if now.Sub(use.lastRequest) > forgetAfter {
			delete(shares.accounts, name)
		}
	}
}

// weightUnit returns the recent admissions of all accounts per unit of weight. The weight of an idle account fades as its admissions do.
func (shares *shares) weightUnit(now time.Time) float64 {
	admitted, weights := 0.0, 0.0
	for _, use := range shares.accounts {
		admitted += use.admitted
		weights += use.weight * math.Exp(-now.Sub(use.lastRequest).Seconds()/shareMemory.Seconds())
	}
	return admitted / weights
}

// ratio returns what an account has had relative to its share. One request more than the share, and deviationPart,
// are allowed, so that small accounts are not held back by a few requests at once.
func (use *accountUse) ratio(weightUnit float64) float64 {
	share := weightUnit * use.weight
	return use.admitted / (1 + share + deviationPart*math.Sqrt(share))
}

// usable returns the number of requests in flight with which one more of an account is admitted: the more the less the account has had,
// so that the last places go to those that have had least. With a limit of a few requests the parts of it hardly differ; there the spare
// requests keep a place for accounts below their share beside one above it.
func (shares *shares) usable(now time.Time, use *accountUse, limit float64) float64 {
	unit := shares.weightUnit(now)
	ratio := use.ratio(unit)
	if ratio > 1 {
		return math.Floor(fairFraction * limit)
	}
	low := min(1, (1-ratio)/(1-lowRatio))
	usable := limit * (shareFraction + (1-shareFraction)*low)
	for _, other := range shares.accounts {
		if other.ratio(unit) > 1 {
			return usable + spareRequests*low
		}
	}
	return usable
}
