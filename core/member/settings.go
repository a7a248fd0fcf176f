package member

import "time"

// Settings holds the intervals, timeouts and fan-outs of the protocol.
type Settings struct {
	ProbeInterval  time.Duration // between two probes by one member; a probe without an ack after this time makes the member suspect
	AckTimeout     time.Duration // after which other members are asked to probe indirectly
	SuspectTimeout time.Duration // after which a suspect member is declared dead
	ReviveInterval time.Duration // between probes of dead members that the platform still lists
	SyncInterval   time.Duration // mean time between exchanges of whole member lists
	ForgetAfter    time.Duration // after which a dead or left member that the platform no longer lists is removed
	IndirectProbes int           // members asked to probe a member that has not answered; also the Syncs sent by one Seed
	Fanout         int           // members to which a new release or the leaving of this member is announced at once
	MaxPiggyback   int           // updates carried by one message
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:  time.Second,
		AckTimeout:     300 * time.Millisecond,
		SuspectTimeout: 2 * time.Second,
		ReviveInterval: 2 * time.Second,
		SyncInterval:   60 * time.Second,
		ForgetAfter:    60 * time.Second,
		IndirectProbes: 3,
		Fanout:         4,
		MaxPiggyback:   8,
	}
}
