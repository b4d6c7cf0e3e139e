package kernel

import (
	"io"

	"github.com/bronzemast/bronzemast/event"
	"github.com/sirupsen/logrus"
)

// The formats of the event log.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// level parses Level; the default is info.
func (s LogSettings) level() (logrus.Level, error) {
	if s.Level == "" {
		return logrus.InfoLevel, nil
	}
	return logrus.ParseLevel(s.Level)
}

// NewEventLog returns an event log that writes to out in the format and from the
// level of the settings. Each entry carries the host ID.
func NewEventLog(s *Settings, out io.Writer) (*event.Log, error) {
	level, err := s.Log.level()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	if s.Log.Format == FormatText {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	} else {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return event.NewLog(logger.WithField("host", string(s.Host.ID))), nil
}
