// Package logs provides a logger per subsystem, each with its own level. Log levels are set only here.
package logs

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/sirupsen/logrus"
)

// Subsystems are the subsystems whose level can be set.
var Subsystems = []string{"ownership", "configuration", "caller", "home", "platform", "instance", "operator", "daemon"}

// LevelError reports an invalid log setting.
type LevelError struct {
	Setting string
	Problem string
}

func (e *LevelError) Error() string {
	return fmt.Sprintf("log setting %q: %s: write it like \"ownership=debug,caller=warn\", with the subsystems %s",
		e.Setting, e.Problem, strings.Join(Subsystems, ", "))
}

// Set holds one logger per subsystem.
type Set struct {
	loggers map[string]*logrus.Logger
	fields  logrus.Fields
}

// New returns loggers that write to out, or to standard error if out is nil. setting has the form
// "ownership=debug,caller=warn"; subsystems that it does not name log at level info.
func New(setting, instance string, out io.Writer) (*Set, error) {
	if out == nil {
		out = os.Stderr
	}
	s := &Set{
		loggers: map[string]*logrus.Logger{},
		fields: logrus.Fields{
			"instance": instance,
		},
	}
	for _, name := range Subsystems {
		logger := logrus.New()
		logger.SetOutput(out)
		logger.SetFormatter(&logrus.TextFormatter{
			DisableColors: true,
			FullTimestamp: true,
		})
		s.loggers[name] = logger
	}
	for _, part := range strings.Split(setting, ",") {
		if part == "" {
			continue
		}
		if err := s.setLevel(setting, part); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Set) setLevel(setting, part string) error {
	name, level, found := strings.Cut(part, "=")
	logger := s.loggers[name]
	if !found || logger == nil {
		return &LevelError{
			Setting: setting,
			Problem: fmt.Sprintf("%q is not a known subsystem with a level", part),
		}
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return &LevelError{
			Setting: setting,
			Problem: fmt.Sprintf("%q is not a log level", level),
		}
	}
	logger.SetLevel(parsed)
	return nil
}

// For returns the logger of a subsystem. It panics if subsystem is not in Subsystems.
func (s *Set) For(subsystem string) *logrus.Entry {
	logger := s.loggers[subsystem]
	if logger == nil {
		panic("unknown log subsystem " + subsystem)
	}
	return logger.WithField("subsystem", subsystem).WithFields(s.fields)
}
