package telemetry

import (
	"io"

	"github.com/sirupsen/logrus"
)

// NewLog returns a logger that writes one JSON object per line.
func NewLog(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(formatter{})
	return log
}
