package transport

import (
	"errors"
	"fmt"
	"strings"
)

// ErrPollerEnded is the cause of an end after the loop that reads and writes all connections has ended.
var ErrPollerEnded = errors.New("the event loop has ended")

// pollerEndText is in nbio's message on the end of its loop, which nbio reports in no other way.
const pollerEndText = "EpollWait failed"

// pollerLogger discards nbio's log, but for the end of its loop.
type pollerLogger struct{ ended chan<- error }

// SetLevel implements logging.Logger.
func (pollerLogger) SetLevel(int) {}

// Debug implements logging.Logger.
func (pollerLogger) Debug(string, ...any) {}

// Info implements logging.Logger.
func (pollerLogger) Info(string, ...any) {}

// Warn implements logging.Logger.
func (pollerLogger) Warn(string, ...any) {}

// Error implements logging.Logger.
func (l pollerLogger) Error(format string, args ...any) {
	if !strings.Contains(format, pollerEndText) {
		return
	}
	select {
	case l.ended <- fmt.Errorf("%w: "+format, append([]any{ErrPollerEnded}, args...)...):
	default: // an end is reported already
	}
}
