package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestForget guards against memory that grows with every account ever seen.
func TestForget(t *testing.T) {
	shares, now := newShares(), time.Unix(1000, 0)
	for i := range 1000 {
		shares.request(now, &Account{Name: fmt.Sprint(i), Weight: 1}).admitted++
	}
	now = now.Add(forgetAfter + time.Second)
	shares.request(now, &Account{Name: "last", Weight: 1})
	shares.request(now.Add(decayInterval), &Account{Name: "last", Weight: 1})
	assert.Equal(t, len(shares.accounts), 1)
}
