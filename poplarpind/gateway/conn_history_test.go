package gateway

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/route"
	"poplarpin.dev/platform"
)

// TestConnHistoryIsBounded guards against connections to targets that refuse all calls, whose memory grows without end.
func TestConnHistoryIsBounded(t *testing.T) {
	once := func(id int) *job {
		return &job{request: &platform.Request{ID: strconv.Itoa(id)}, route: &route.Route{}}
	}
	t.Run("refusals of requests that must run once", func(t *testing.T) {
		history, roomLeft := connHistory{}, true
		for id := 0; roomLeft; id++ {
			assert.Assert(t, id < maxRefusalsPerConn)
			history, roomLeft = history.add(once(id), platform.Origin{}, fanout.Refused)
			for earlier := range id + 1 {
				assert.Assert(t, once(earlier).answeredBefore(history))
			}
			assert.Assert(t, !once(id+1).answeredBefore(history))
		}
	})
	t.Run("other responses take no room", func(t *testing.T) {
		history, roomLeft := connHistory{}, true
		for id := range 2 * maxRefusalsPerConn {
			history, _ = history.add(once(id), platform.Origin{}, fanout.Answered)
			history, roomLeft = history.add(&job{request: &platform.Request{ID: strconv.Itoa(id)}, route: &route.Route{Idempotent: true}}, platform.Origin{}, fanout.Refused)
		}
		assert.Assert(t, roomLeft)
		assert.Equal(t, len(history.refused), 0)
	})
}
