package gateway_test

import (
	"bytes"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// recordsOf returns records of a target, in no particular order.
func recordsOf(target string, count int) [][]byte {
	records := make([][]byte, count)
	for i := range records {
		records[i] = fmt.Appendf(nil, "%08d%8s", (i*7919)%count, target)
	}
	return records
}

// greatest returns the greatest records, falling.
func greatest(records [][]byte, limit int) []byte {
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:limit], nil)
}

// relayedCalls returns how many messages the VMs of this process have sent to a relay, and how many calls they have made for one.
func relayedCalls() int64 {
	count, _ := expvar.Get("calls").(*expvar.Map).Get("relayed").(*expvar.Int)
	if count == nil {
		return 0
	}
	return count.Value()
}

// TestRelayOfAnotherRouteVersion guards against an answer that lacks some of the greatest records, because a VM that made calls for it merged them as
// its own version of the route says.
func TestRelayOfAnotherRouteVersion(t *testing.T) {
	for name, test := range map[string]struct{ asking, relay, each int }{
		"the relay's version keeps fewer records":       {asking: 9, relay: 2, each: 3},
		"the relay's version keeps more records":        {asking: 2, relay: 9, each: 3},
		"the relay's version allows only shorter parts": {asking: 2000, relay: 2, each: 6000},
	} {
		t.Run(name, func(t *testing.T) {
			stores := []*platformtest.Store{platformtest.NewStore(t), platformtest.NewStore(t)}
			var services []string
			var records [][]byte
			for i := range 6 {
				service := fmt.Sprintf("s%d", i)
				services = append(services, service)
				target, own := platformtest.NewTarget(t, service), recordsOf(service, test.each)
				records = append(records, own...)
				target.SetHandler(func(writer http.ResponseWriter, _ *http.Request) {
					platformtest.Sign(writer, service)
					_, _ = writer.Write(bytes.Join(own, nil)) // a failure shows in the answer
				})
				for _, store := range stores {
					store.PutTarget(target, service, "b", "ready")
				}
			}
			for i, limit := range []int{test.asking, test.relay} {
				config := platformtest.GatherConfig(services)
				platformtest.SetRecordLimit(config, limit)
				stores[i].PutConfig(config)
			}
			relay := startVM(t, "vm-b1", "b", stores[1])
			waitFor(t, "the relay", func() bool { return relay.gateway.Ready() && len(stores[1].Specs("entryvms")) == 1 })
			stores[0].Put("entryvms", "vm-b1", stores[1].Specs("entryvms")["vm-b1"])
			asking := startVM(t, "vm-a1", "a", stores[0])
			waitFor(t, "the list of VMs", func() bool { return asking.gateway.Ready() && asking.gateway.Dump().Endpoint("vm-b1").State == "ready" })
			want, relayed := string(greatest(records, test.asking)), relayedCalls()
			for range 5 {
				response := asking.do(t, http.MethodGet, "/g/x", nil)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, platformtest.MissingParts(response), "0")
				assert.Equal(t, len(body), test.asking*platform.RecordSize)
				assert.Assert(t, string(body) == want, "the answer lacks some of the greatest records")
			}
			assert.Equal(t, relayedCalls()-relayed, int64(5*(1+len(services))), "not all calls were relayed")
		})
	}
}
