// Package command implements the command trees of cuminlift, cuminliftd and cuminlift-standin.
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

// Version is the release version that the programs report.
const Version = "0.1.0"

// Exit codes of the programs.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailure: the request was rejected, or a check failed.
	ExitFailure = 1
	// ExitUsage: the command line is invalid.
	ExitUsage = 2
	// ExitUnknownOutcome: the client could not determine whether a change was committed.
	ExitUnknownOutcome = 3
	// ExitUnreachable: no instance could be reached.
	ExitUnreachable = 4
)

// ExitError is an error that determines the exit code of the process.
type ExitError struct {
	Code  int
	Cause error
}

func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Cause }

// Environment holds the context and the output streams of a command.
type Environment struct {
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
}

// Connection holds the flags for connecting to the operator API of an instance.
type Connection struct {
	Address     string `help:"Operator API address of any instance." default:"127.0.0.1:7003" env:"CUMINLIFT_ADDRESS" placeholder:"IP:PORT"`
	Authority   string `help:"PEM file with the certificate of the authority." default:"keys/authority.pem" env:"CUMINLIFT_AUTHORITY"`
	Certificate string `help:"PEM file with the operator's certificate." default:"keys/operator.pem" env:"CUMINLIFT_CERTIFICATE"`
	Key         string `help:"PEM file with the operator's private key." default:"keys/operator.key" env:"CUMINLIFT_KEY"`
	Format      string `help:"Output format, plain text or JSON." enum:"text,json" default:"text"`
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

// print writes message as indented JSON with --format json and calls printText otherwise.
func (c *Connection) print(e *Environment, message proto.Message, printText func(io.Writer)) error {
	if c.Format != "json" {
		printText(e.Stdout)
		return nil
	}
	content, err := protojson.MarshalOptions{
		EmitUnpopulated: true,
	}.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode reply as JSON: %w", err)
	}
	var value any
	if err := json.Unmarshal(content, &value); err != nil {
		return fmt.Errorf("reformat JSON reply: %w", err)
	}
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Client is the command tree of cuminlift.
type Client struct {
	Check    CheckCommand    `cmd:"" help:"Validate an estate file offline."`
	Apply    ApplyCommand    `cmd:"" help:"Apply an estate file and wait until all instances use it."`
	Get      GetCommand      `cmd:"" help:"Print the active estate configuration."`
	Diff     DiffCommand     `cmd:"" help:"Compare an estate file with the active configuration."`
	Out      OutCommand      `cmd:"" help:"Take a zone, an instance or an upstream out of service."`
	In       InCommand       `cmd:"" help:"Return a zone, an instance or an upstream to service."`
	Status   StatusCommand   `cmd:"" help:"Show the cluster state as seen by an instance."`
	Owner    OwnerCommand    `cmd:"" help:"Show which upstream owns a key."`
	Audit    AuditCommand    `cmd:"" help:"List accepted changes with author, time, old and new value, and reason."`
	Forget   ForgetCommand   `cmd:"" help:"Declare that an instance has terminated, without verification."`
	Replay   ReplayCommand   `cmd:"" help:"Replay a recorded trace and check the guarantees."`
	Explain  ExplainCommand  `cmd:"" help:"Show the trace events for a request, a key or a time range."`
	Record   RecordCommand   `cmd:"" help:"Record a trace of a loopback cluster during a failure or operator action."`
	Identity IdentityCommand `cmd:"" help:"Generate keys and certificates for development."`
	Tryout   TryoutCommand   `cmd:"" help:"Run a complete cluster on loopback under load and report the results."`
	Soak     SoakCommand     `cmd:"" help:"Run the programs against stand-ins of the operators' platform with random faults, and check the promises."`
	Load     LoadCommand     `cmd:"" help:"Send requests to instances and report latency and outcomes."`
	Measure  MeasureCommand  `cmd:"" help:"Run benchmarks and write the result tables."`
	Report   ReportCommand   `cmd:"" help:"Generate plots and update the tables in documentation pages from measured data."`
	Version  VersionCommand  `cmd:"" help:"Print the version."`
	Docs     DocsCommand     `cmd:"" hidden:"" help:"Print the command reference."`
}

// Main parses arguments, runs the selected command and returns the exit code of the process.
func Main(name, description string, tree any, arguments []string, e *Environment) int {
	exitStatus := -1
	parser, err := kong.New(
		tree,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(e.Stdout, e.Stderr),
		kong.Exit(func(code int) { exitStatus = code }),
		kong.Bind(e),
		kong.ConfigureHelp(kong.HelpOptions{
			Compact: true,
		}),
	)
	if err != nil {
		fmt.Fprintln(e.Stderr, err)
		return ExitUsage
	}
	parseContext, err := parser.Parse(arguments)
	if exitStatus >= 0 {
		return exitStatus
	}
	if err != nil {
		fmt.Fprintf(e.Stderr, "%s: %v: see \"%s --help\"\n", name, err, name)
		return ExitUsage
	}
	err = parseContext.Run(e, parser)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(e.Stderr, "%s: %v\n", name, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return exitErr.Code
	}
	var connectionErr *operator.ConnectionError
	if errors.As(err, &connectionErr) {
		return ExitUnreachable
	}
	return ExitFailure
}

// VersionCommand prints the program version.
type VersionCommand struct{}

// Run implements the command.
func (c *VersionCommand) Run(e *Environment) error {
	_, err := fmt.Fprintln(e.Stdout, "cuminlift", Version)
	return err
}

// IdentityCommand groups the commands for development certificates.
type IdentityCommand struct {
	Make MakeIdentityCommand `cmd:"" help:"Create a certificate authority and certificates signed by it."`
}

// MakeIdentityCommand writes a certificate authority and a certificate and key for each name.
type MakeIdentityCommand struct {
	Folder string   `help:"Output folder." default:"keys"`
	Days   int      `help:"Validity of the certificates in days." default:"30"`
	Names  []string `arg:"" help:"Names to issue certificates for, for example operator entry-1."`
}

// Help returns the detailed help text.
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
		fmt.Fprintln(e.Stdout, filepath.Join(c.Folder, name+".pem"))
	}
	return nil
}

// NewEnvironment returns an Environment that writes to the standard streams of the process.
func NewEnvironment(ctx context.Context) *Environment {
	return &Environment{
		Context: ctx,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
	}
}
