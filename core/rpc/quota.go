package rpc

// The JSON-RPC methods by which VMs share the quotas of client accounts.
const (
	MethodQuotaLoan  = "quotaLoan"  // notification: QuotaLoan
	MethodQuotaAsk   = "quotaAsk"   // notification: QuotaAsk
	MethodQuotaGrant = "quotaGrant" // notification: QuotaGrant
)

const (
	maxQuotaWants  = 4096    // accounts in one ask or grant
	maxQuotaTokens = 1 << 20 // an ask or grant has at most this many tokens of one account
	maxQuotaVMs    = 1 << 20
)

// QuotaMessage is a message about quotas: QuotaLoan, QuotaAsk or QuotaGrant.
type QuotaMessage interface{ QuotaMethod() string }

// ClockReading is a reading of a VM's clock, which is valid for one run of its process only.
type ClockReading struct {
	Incarnation int64 `json:"run"` // 0 for no reading
	Micros      int64 `json:"at"`
}

// QuotaLoan is a pool's clock reading (VMs is 0), or a VM's loan of its share of all quotas to its pool. A loan without Echo is an offer,
// which asks the pool for a reading.
type QuotaLoan struct {
	Reading ClockReading `json:"reading,omitzero"`
	Echo    ClockReading `json:"echo,omitzero"` // the pool's reading from which it counts the loan's term
	Rank    int          `json:"rank,omitempty"`
	VMs     int          `json:"vms,omitempty"` // the share is that of the VM at Rank among so many
}

// QuotaWant is the number of tokens that a VM asks for an account.
type QuotaWant struct {
	Account string `json:"account"`
	Tokens  int    `json:"tokens"`          // for requests that wait
	Ahead   int    `json:"ahead,omitempty"` // for requests that are expected soon
}

// QuotaAsk asks a pool for tokens.
type QuotaAsk struct {
	ID        int64        `json:"id"` // rises with each ask of an incarnation
	Reading   ClockReading `json:"reading"`
	Forwarded bool         `json:"forwarded,omitempty"` // asked by a pool for others; answered without asking further pools
	Wants     []QuotaWant  `json:"wants"`
}

// QuotaAnswer is a pool's answer for one account of an ask.
type QuotaAnswer struct {
	Account          string `json:"account"`
	Tokens           int    `json:"tokens,omitempty"`
	RetryAfterMicros int64  `json:"retry,omitempty"`   // positive if tokens are refused: the time until the next token that is not promised yet
	NextTokenMicros  int64  `json:"next,omitempty"`    // with RetryAfterMicros: the time until the next token, promised or not
	Unknown          bool   `json:"unknown,omitempty"` // the pool does not know whether the quota is used up
}

// QuotaGrant answers an ask, for all or some of its accounts.
type QuotaGrant struct {
	ID      int64         `json:"id"`   // of the ask
	Echo    ClockReading  `json:"echo"` // the ask's reading, from which the tokens' term counts
	Answers []QuotaAnswer `json:"grants"`
}

// QuotaMethod implements QuotaMessage.
func (QuotaLoan) QuotaMethod() string { return MethodQuotaLoan }

// QuotaMethod implements QuotaMessage.
func (QuotaAsk) QuotaMethod() string { return MethodQuotaAsk }

// QuotaMethod implements QuotaMessage.
func (QuotaGrant) QuotaMethod() string { return MethodQuotaGrant }

// Validate checks a decoded loan.
func (loan QuotaLoan) Validate() error {
	if loan.VMs < 0 || loan.VMs > maxQuotaVMs || loan.Rank < 0 || loan.VMs > 0 && loan.Rank >= loan.VMs {
		return invalid(MethodQuotaLoan, "rank %d among %d VMs", loan.Rank, loan.VMs)
	}
	return nil
}

// Validate checks a decoded ask.
func (ask QuotaAsk) Validate() error {
	if ask.ID <= 0 || len(ask.Wants) == 0 || len(ask.Wants) > maxQuotaWants {
		return invalid(MethodQuotaAsk, "id %d with %d wants", ask.ID, len(ask.Wants))
	}
	for _, want := range ask.Wants {
		if want.Account == "" || want.Tokens < 0 || want.Tokens > maxQuotaTokens || want.Ahead < 0 || want.Ahead > maxQuotaTokens {
			return invalid(MethodQuotaAsk, "%d and %d tokens of account %q", want.Tokens, want.Ahead, want.Account)
		}
	}
	return nil
}

// Validate checks a decoded grant.
func (grant QuotaGrant) Validate() error {
	if grant.ID <= 0 || len(grant.Answers) > maxQuotaWants {
		return invalid(MethodQuotaGrant, "id %d with %d answers", grant.ID, len(grant.Answers))
	}
	for _, answer := range grant.Answers {
		if answer.Account == "" || answer.Tokens < 0 || answer.Tokens > 2*maxQuotaTokens || min(answer.RetryAfterMicros, answer.NextTokenMicros) < 0 {
			return invalid(MethodQuotaGrant, "%d tokens of account %q", answer.Tokens, answer.Account)
		}
	}
	return nil
}
