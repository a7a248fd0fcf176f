package logging

import (
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxWaiting    = 1 << 20                // bytes of lines that wait for the output; more are dropped and counted
	firstLines    = 200                    // with the same message in a second that are all kept
	everyLine     = 10                     // of those beyond, one in so many is kept
	flushInterval = 200 * time.Millisecond // between two writes
)

var dropped = expvar.NewInt("logLinesDropped")

// Sink takes lines at once and writes them a little later.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	writing sync.Mutex
	end     chan struct{}
}

// NewSink returns a sink that writes to an output until it is closed.
func NewSink(out io.Writer) *Sink {
	sink := &Sink{out: out, end: make(chan struct{})}
	go sink.run()
	return sink
}

// Write implements io.Writer; it never blocks on the output.
func (sink *Sink) Write(line []byte) (int, error) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if len(sink.waiting)+len(line) > maxWaiting {
		dropped.Add(1)
		return len(line), nil
	}
	sink.waiting = append(sink.waiting, line...)
	return len(line), nil
}

// Sync writes what waits.
func (sink *Sink) Sync() error {
	sink.writing.Lock()
	defer sink.writing.Unlock()
	sink.mu.Lock()
	lines := sink.waiting
	sink.waiting, sink.spare = sink.spare[:0], nil
	sink.mu.Unlock()
	_, err := sink.out.Write(lines)
	sink.mu.Lock()
	sink.spare = lines
	sink.mu.Unlock()
	return err
}

// Close writes what waits and ends the sink.
func (sink *Sink) Close() error {
	close(sink.end)
	return sink.Sync()
}

func (sink *Sink) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sink.end:
			return
		case <-ticker.C:
			if sink.Buffered() > 0 && sink.Sync() != nil {
				dropped.Add(1)
			}
		}
	}
}

// Buffered returns the bytes of lines that are not written yet.
func (sink *Sink) Buffered() int {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return len(sink.waiting)
}

// New returns a logger of JSON lines at a level and above.
func New(level string, sink *Sink) (*zap.Logger, error) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotate(err, "log")
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, least)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, firstLines, everyLine)), nil
}
