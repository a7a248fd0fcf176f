package member_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/member"
)

const tickInterval = 100 * time.Millisecond // of the simulated clock

// fleet runs several lists on a simulated clock; messages arrive at once unless the receiver is frozen or the path is blocked.
type fleet struct {
	now      time.Time
	lists    map[string]*member.List
	names    []string
	frozen   map[string]bool
	blocked  map[[2]string]bool
	messages int
	bytes    int
	measure  bool // count bytes
}

func newFleet(size int, seed uint64) *fleet {
	fleet := &fleet{now: time.Unix(1000, 0), lists: map[string]*member.List{}, frozen: map[string]bool{}, blocked: map[[2]string]bool{}}
	for i := range size {
		name := fmt.Sprintf("vm%04d", i)
		self := member.Member{Name: name, FailureDomain: fmt.Sprintf("d%d", i%3), Address: name, Incarnation: 1}
		fleet.lists[name] = member.New(self, member.DefaultSettings(), rand.New(rand.NewPCG(seed, uint64(i))))
		fleet.names = append(fleet.names, name)
	}
	fleet.seed()
	return fleet
}

// seed passes the platform's VM list to every member.
func (fleet *fleet) seed() {
	var listed []member.Member
	for _, name := range fleet.names {
		listed = append(listed, member.Member{Name: name, FailureDomain: fleet.lists[name].Self().FailureDomain, Address: name})
	}
	for _, name := range fleet.names {
		fleet.send(name, fleet.lists[name].Seed(fleet.now, listed))
	}
}

func (fleet *fleet) send(from string, outgoing []member.Outgoing) {
	for _, out := range outgoing {
		fleet.messages++
		if fleet.measure {
			fleet.bytes += messageSize(out.Message)
		}
		to := out.To.Name
		if fleet.frozen[to] || fleet.blocked[[2]string{from, to}] || fleet.lists[to] == nil {
			continue
		}
		fleet.send(to, fleet.lists[to].Receive(fleet.now, out.Message))
	}
}

func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); fleet.now = fleet.now.Add(tickInterval) {
		for _, name := range fleet.names {
			if !fleet.frozen[name] {
				fleet.send(name, fleet.lists[name].Tick(fleet.now))
			}
		}
	}
}

// owners returns the names of the owners in one member's view.
func (fleet *fleet) owners(name string) []string {
	var names []string
	for _, owner := range fleet.lists[name].Owners() {
		names = append(names, owner.Name)
	}
	return names
}

func assertAllUp(t assert.TestingT, fleet *fleet) {
	for _, name := range fleet.names {
		assert.DeepEqual(t, fleet.owners(name), fleet.names)
	}
}

func assertNotOwner(t *testing.T, fleet *fleet, excluded string) {
	t.Helper()
	for _, name := range fleet.names {
		if name != excluded && !fleet.frozen[name] {
			assert.Assert(t, !slices.Contains(fleet.owners(name), excluded), "%s is still an owner in the view of %s", excluded, name)
		}
	}
}

func TestMembership(t *testing.T) {
	t.Run("all members find each other", func(t *testing.T) {
		fleet := newFleet(9, 1)
		fleet.run(10 * time.Second)
		assertAllUp(t, fleet)
	})
	t.Run("a frozen member is declared dead and rejoins", func(t *testing.T) {
		fleet := newFleet(9, 2)
		fleet.run(10 * time.Second)
		fleet.frozen["vm0003"] = true
		fleet.run(20 * time.Second)
		assertNotOwner(t, fleet, "vm0003")
		fleet.frozen["vm0003"] = false
		fleet.run(30 * time.Second)
		assertAllUp(t, fleet)
	})
	t.Run("an update of an earlier incarnation does not undo a restart", func(t *testing.T) {
		fleet := newFleet(3, 7)
		fleet.run(5 * time.Second)
		restarted := fleet.lists["vm0001"].Self()
		restarted.Incarnation = 9
		fleet.lists["vm0000"].Receive(fleet.now, member.Message{Kind: member.Announce, From: restarted})
		restarted.Incarnation, restarted.State = 1, member.Left
		fleet.lists["vm0000"].Receive(fleet.now, member.Message{Kind: member.Announce, From: fleet.lists["vm0002"].Self(), Updates: []member.Member{restarted}})
		found, _ := fleet.lists["vm0000"].Find("vm0001")
		assert.Equal(t, found.Incarnation, int64(9))
		assert.Equal(t, found.State, member.Alive)
	})
	t.Run("a leaving member stops being an owner without a timeout", func(t *testing.T) {
		fleet := newFleet(9, 3)
		fleet.run(10 * time.Second)
		fleet.send("vm0004", fleet.lists["vm0004"].Leave(member.Leaving))
		fleet.run(3 * time.Second)
		assertNotOwner(t, fleet, "vm0004")
	})
	t.Run("a path blocked in one direction costs no member its ownership", func(t *testing.T) {
		fleet := newFleet(9, 4)
		fleet.run(10 * time.Second)
		fleet.blocked[[2]string{"vm0001", "vm0002"}] = true
		for range 60 {
			fleet.run(time.Second)
			assertAllUp(t, fleet)
		}
	})
	t.Run("a partitioned failure domain rejoins", func(t *testing.T) {
		fleet := newFleet(9, 5)
		fleet.run(10 * time.Second)
		inside := func(name string) bool { return fleet.lists[name].Self().FailureDomain == "d1" }
		for _, a := range fleet.names {
			for _, b := range fleet.names {
				if inside(a) != inside(b) {
					fleet.blocked[[2]string{a, b}] = true
				}
			}
		}
		fleet.run(40 * time.Second)
		assert.Equal(t, len(fleet.owners("vm0000")), 6)
		assert.Equal(t, len(fleet.owners("vm0001")), 3)
		clear(fleet.blocked)
		fleet.run(60 * time.Second)
		assertAllUp(t, fleet)
	})
	t.Run("a release announcement reaches all members", func(t *testing.T) {
		fleet := newFleet(30, 6)
		fleet.run(20 * time.Second)
		fleet.lists["vm0000"].SetRelease(7)
		fleet.send("vm0000", fleet.lists["vm0000"].AnnounceRelease())
		for range 40 {
			for _, name := range fleet.names {
				if newest, _ := fleet.lists[name].NewestRelease(); newest == 7 {
					fleet.lists[name].SetRelease(7)
				}
			}
			fleet.run(tickInterval)
		}
		for _, name := range fleet.names[1:] {
			newest, _ := fleet.lists[name].NewestRelease()
			assert.Equal(t, newest, int64(7), "%s", name)
		}
	})
}

// TestConverges freezes members and blocks paths at random; every member must count all others as owners within 60 s of the last fault.
// A member wrongly declared dead that never refuted it, or was never probed again, would stay out.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(5, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			a := rapid.SampledFrom(fleet.names).Draw(t, "a")
			b := rapid.SampledFrom(fleet.names).Draw(t, "b")
			if rapid.Bool().Draw(t, "freeze") {
				fleet.frozen[a] = !fleet.frozen[a]
			} else {
				fleet.blocked[[2]string{a, b}] = !fleet.blocked[[2]string{a, b}]
			}
			fleet.run(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
		}
		clear(fleet.frozen)
		clear(fleet.blocked)
		fleet.run(60 * time.Second)
		assertAllUp(t, fleet)
	})
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"kind":"ping","from":{"name":"a","incarnation":1},"updates":[{"name":"b","state":4}]}`))
	f.Add([]byte(`{"kind":"sync","from":{"name":"a","state":9}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		fleet := newFleet(2, 1)
		var message member.Message
		if json.Unmarshal(data, &message) == nil {
			fleet.lists["vm0000"].Receive(fleet.now, message)
			fleet.lists["vm0000"].Tick(fleet.now)
		}
	})
}

// TestLaterField guards against a message that is rejected because a later build has added a field to it.
func TestLaterField(t *testing.T) {
	var message member.Message
	assert.NilError(t, json.Unmarshal([]byte(`{"kind":"ping","from":{"name":"a","state":1},"laterField":1}`), &message))
	assert.Equal(t, message.From.Name, "a")
}
