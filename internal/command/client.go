// Package command holds the command trees of the programs.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/io/identity"
	"cuminlift/io/operator"
	"cuminlift/schema"
)

// Version is the programs' version.
const Version = "0.1.0"

// Exit codes of the programs.
const (
	// ExitDone: what was asked for is done.
	ExitDone = 0
	// ExitRefused: it was refused, or a check failed.
	ExitRefused = 1
	// ExitUsage: the command line can't be read.
	ExitUsage = 2
	// ExitUnknown: it is not known whether a change was accepted.
	ExitUnknown = 3
	// ExitUnreachable: no instance answered.
	ExitUnreachable = 4
)

// CodeError carries an exit code.
type CodeError struct {
	Code  int
	Cause error
}

func (e *CodeError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *CodeError) Unwrap() error { return e.Cause }

// Environment is what commands write to and read from.
type Environment struct {
	Context context.Context
	Out     io.Writer
	Errors  io.Writer
}

// Connection names an instance and the operator's identity.
type Connection struct {
	Address     string `help:"Operators' address of any instance." default:"127.0.0.1:7003" env:"CUMINLIFT_ADDRESS" placeholder:"IP:PORT"`
	Authority   string `help:"PEM file of the certificate authority." default:"keys/authority.pem" env:"CUMINLIFT_AUTHORITY"`
	Certificate string `help:"PEM file of the operator's certificate." default:"keys/operator.pem" env:"CUMINLIFT_CERTIFICATE"`
	Key         string `help:"PEM file of the operator's key." default:"keys/operator.key" env:"CUMINLIFT_KEY"`
	Format      string `help:"Output for people (text) or programs (json)." enum:"text,json" default:"text"`
}

func (c *Connection) client() (*operator.Client, error) {
	source, err := identity.Load(&schema.TlsSettings{
		Authority:   c.Authority,
		Certificate: c.Certificate,
		Key:         c.Key,
	})
	if err != nil {
		return nil, err
	}
	return operator.NewClient(operator.Config{
		Address: c.Address,
		TLS:     source.Client("http/1.1"),
	}), nil
}

// show writes message as JSON, or text where the output is for people.
func (c *Connection) show(e *Environment, message proto.Message, text func(io.Writer)) error {
	if c.Format != "json" {
		text(e.Out)
		return nil
	}
	content, err := protojson.MarshalOptions{
		EmitUnpopulated: true,
	}.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	var value any
	if err := json.Unmarshal(content, &value); err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Client is the command tree of cuminlift.
type Client struct {
	Check    CheckCommand    `cmd:"" help:"Check an estate text without an instance."`
	Apply    ApplyCommand    `cmd:"" help:"Put an estate text in force, and tell when it is."`
	Get      GetCommand      `cmd:"" help:"Print the estate text in force."`
	Diff     DiffCommand     `cmd:"" help:"Compare a text with the one in force."`
	Out      OutCommand      `cmd:"" help:"Take a zone, an instance or an upstream out of service."`
	In       InCommand       `cmd:"" help:"Take it back into service."`
	Status   StatusCommand   `cmd:"" help:"Show what an instance sees."`
	Owner    OwnerCommand    `cmd:"" help:"Tell which upstream owns a key."`
	Audit    AuditCommand    `cmd:"" help:"List accepted changes: who, when, from, to, why."`
	Forget   ForgetCommand   `cmd:"" help:"Declare an ended instance ended, on your word."`
	Replay   ReplayCommand   `cmd:"" help:"Run a recorded trace again and check the promises."`
	Explain  ExplainCommand  `cmd:"" help:"Tell what traces hold of a request, a key or a time."`
	Record   RecordCommand   `cmd:"" help:"Record a trace of the whole path on loopback while something goes wrong."`
	Identity IdentityCommand `cmd:"" help:"Make keys and certificates for development."`
	Tryout   TryoutCommand   `cmd:"" help:"Run the whole path on loopback and show what happens."`
	Load     LoadCommand     `cmd:"" help:"Send requests to instances and report latency and outcomes."`
	Measure  MeasureCommand  `cmd:"" help:"Measure slopes and policies, and write data files and plots."`
	Report   ReportCommand   `cmd:"" help:"Make plots and fill in the tables of pages from measured data."`
	Version  VersionCommand  `cmd:"" help:"Print the version."`
	Docs     DocsCommand     `cmd:"" hidden:"" help:"Print the command reference."`
}

// Main parses arguments, runs a program's command and returns its exit code.
func Main(name, description string, tree any, arguments []string, e *Environment) int {
	exited := -1
	parser, err := kong.New(
		tree,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(e.Out, e.Errors),
		kong.Exit(func(code int) { exited = code }),
		kong.Bind(e),
		kong.ConfigureHelp(kong.HelpOptions{
			Compact: true,
		}),
	)
	if err != nil {
		fmt.Fprintln(e.Errors, err)
		return ExitUsage
	}
	parsed, err := parser.Parse(arguments)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(e.Errors, "%s: %v: see \"%s --help\"\n", name, err, name)
		return ExitUsage
	}
	err = parsed.Run(e, parser)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(e.Errors, "%s: %v\n", name, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var code *CodeError
	if errors.As(err, &code) {
		return code.Code
	}
	var connection *operator.ConnectionError
	if errors.As(err, &connection) {
		return ExitUnreachable
	}
	return ExitRefused
}

// VersionCommand prints the version.
type VersionCommand struct{}

// Run implements the command.
func (c *VersionCommand) Run(e *Environment) error {
	_, err := fmt.Fprintln(e.Out, "cuminlift", Version)
	return err
}

// IdentityCommand makes development keys.
type IdentityCommand struct {
	Make MakeIdentityCommand `cmd:"" help:"Make an authority and certificates signed by it."`
}

// MakeIdentityCommand writes an authority, and a certificate for each name.
type MakeIdentityCommand struct {
	Folder string   `help:"Folder for the files." default:"keys"`
	Days   int      `help:"Days that the certificates are good." default:"30"`
	Names  []string `arg:"" help:"Names to issue certificates for, such as operator entry-1."`
}

// Help returns examples.
func (c *MakeIdentityCommand) Help() string {
	return "Example:\n  cuminlift identity make --folder keys operator entry-1 entry-2"
}

// Run implements the command.
func (c *MakeIdentityCommand) Run(e *Environment) error {
	authority, err := identity.NewAuthority(c.Folder)
	if err != nil {
		return err
	}
	for _, name := range c.Names {
		if _, err := authority.Issue(name, time.Now().AddDate(0, 0, c.Days)); err != nil {
			return err
		}
		fmt.Fprintln(e.Out, filepath.Join(c.Folder, name+".pem"))
	}
	return nil
}

// NewEnvironment returns the process's own.
func NewEnvironment(ctx context.Context) *Environment {
	return &Environment{
		Context: ctx,
		Out:     os.Stdout,
		Errors:  os.Stderr,
	}
}
