// Package logs gives each subsystem a logger with a level of its own. This is the one place where levels are set.
package logs

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/sirupsen/logrus"
)

// Subsystems are the names that a level can be given for.
var Subsystems = []string{"ownership", "configuration", "caller", "home", "platform", "instance", "operator", "daemon"}

// LevelError reports a log setting that can't be read.
type LevelError struct {
	Setting string
	Problem string
}

func (e *LevelError) Error() string {
	return fmt.Sprintf("log setting %q: %s: write as in \"ownership=debug,caller=warn\", with subsystems %s",
		e.Setting, e.Problem, strings.Join(Subsystems, ", "))
}

// Set holds a logger for each subsystem.
type Set struct {
	loggers map[string]*logrus.Logger
	fields  logrus.Fields
}

// New returns loggers that write to out. setting is as in "ownership=debug,caller=warn"; the level is info elsewhere.
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
			Problem: fmt.Sprintf("%q names no subsystem and level", part),
		}
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return &LevelError{
			Setting: setting,
			Problem: fmt.Sprintf("%q is no level", level),
		}
	}
	logger.SetLevel(parsed)
	return nil
}

// For returns the logger of a subsystem. It panics on a name that is not in Subsystems.
func (s *Set) For(subsystem string) *logrus.Entry {
	logger := s.loggers[subsystem]
	if logger == nil {
		panic("no log subsystem " + subsystem)
	}
	return logger.WithField("subsystem", subsystem).WithFields(s.fields)
}
