package logging_test

import (
	"bytes"
	"expvar"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpind/logging"
)

// fullOutput fails every write.
type fullOutput struct{}

func (fullOutput) Write([]byte) (int, error) { return 0, bytes.ErrTooLarge }

func dropped(t *testing.T) int64 {
	t.Helper()
	counter, ok := expvar.Get("logLinesDropped").(*expvar.Int)
	assert.Assert(t, ok)
	return counter.Value()
}

// TestSink guards against a crash when a stop closes the sink a second time, and against lost lines that no counter shows.
func TestSink(t *testing.T) {
	t.Run("may be closed twice", func(t *testing.T) {
		var output bytes.Buffer
		sink := logging.NewSink(&output)
		_, err := sink.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.NilError(t, sink.Close())
		assert.NilError(t, sink.Close())
		assert.Equal(t, output.String(), "line\n")
	})
	t.Run("counts each line that its output does not take", func(t *testing.T) {
		sink, before := logging.NewSink(fullOutput{}), dropped(t)
		for range 3 {
			_, err := sink.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.ErrorIs(t, sink.Close(), bytes.ErrTooLarge)
		assert.Equal(t, dropped(t)-before, int64(3))
	})
}
