package logging

import (
	"bytes"
	"expvar"
	"io"
	stdlog "log"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxBufferedBytes  = 1 << 20                // lines beyond are dropped and counted
	samplerFirst      = 200                    // lines with the same message that are kept in each second
	samplerThereafter = 10                     // beyond samplerFirst, one line in this many is kept
	maxDetailBytes    = 1 << 10                // of a line of an HTTP server, in which there may be a stack
	flushInterval     = 200 * time.Millisecond // lines are written to the output this often
)

var linesDropped = expvar.NewInt("logLinesDropped")

// Sink buffers log lines and writes them to its output in the background.
type Sink struct {
	out         io.Writer
	mu          sync.Mutex
	buffer      []byte
	spareBuffer []byte
	writeMu     sync.Mutex
	closeOnce   sync.Once
	done        chan struct{}
}

// NewSink returns a sink that writes to out until it is closed.
func NewSink(out io.Writer) *Sink {
	sink := &Sink{out: out, done: make(chan struct{})}
	go sink.run()
	return sink
}

// Write implements io.Writer. It never blocks on the output; it drops the line if the buffer is full.
func (sink *Sink) Write(line []byte) (int, error) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if len(sink.buffer)+len(line) > maxBufferedBytes {
		linesDropped.Add(1)
		return len(line), nil
	}
	sink.buffer = append(sink.buffer, line...)
	return len(line), nil
}

// Sync writes the buffered lines to the output. It counts the lines that the output did not take as dropped.
func (sink *Sink) Sync() error {
	sink.writeMu.Lock()
	defer sink.writeMu.Unlock()
	sink.mu.Lock()
	lines := sink.buffer
	sink.buffer, sink.spareBuffer = sink.spareBuffer[:0], nil
	sink.mu.Unlock()
	written, err := sink.out.Write(lines)
	if err != nil {
		linesDropped.Add(int64(bytes.Count(lines[min(max(written, 0), len(lines)):], []byte{'\n'})))
	}
	sink.mu.Lock()
	sink.spareBuffer = lines
	sink.mu.Unlock()
	return err
}

// Close stops the background writes and writes the buffered lines; it may be called again.
func (sink *Sink) Close() error {
	sink.closeOnce.Do(func() { close(sink.done) })
	return sink.Sync()
}

func (sink *Sink) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sink.done:
			return
		case <-ticker.C:
			if sink.Buffered() > 0 {
				_ = sink.Sync() // the lines that it could not write are counted
			}
		}
	}
}

// Buffered returns the number of bytes that are not written yet.
func (sink *Sink) Buffered() int {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	return len(sink.buffer)
}

// New returns a logger that writes JSON lines of at least the given level to the sink.
func New(level string, sink *Sink) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotate(err, "log")
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, minLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, samplerFirst, samplerThereafter)), nil
}

// OfServer returns the log of an HTTP server. All its lines have the same message, so that the logger bounds them.
func OfServer(log *zap.Logger) *stdlog.Logger { return stdlog.New(serverLog{log}, "", 0) }

// serverLog writes the lines of an HTTP server on its connections. Their text differs by the client's address.
type serverLog struct{ log *zap.Logger }

// Write implements io.Writer.
func (serverLog serverLog) Write(line []byte) (int, error) {
	serverLog.log.Info("HTTP server reported an error", zap.ByteString("detail", bytes.TrimSpace(line[:min(len(line), maxDetailBytes)])))
	return len(line), nil
}
