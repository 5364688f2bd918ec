package command

import (
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"cuminlift/core/estate"
	"cuminlift/io/operator"
	"cuminlift/schema"
)

// readEstate reads an estate file and returns its content and the parsed estate.
func readEstate(file string) ([]byte, *schema.Estate, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: pass the path of an estate file, see examples/", err)
	}
	parsed, err := estate.Parse(file, text)
	return text, parsed, err
}

// CheckCommand validates an estate file.
type CheckCommand struct {
	File string `arg:"" help:"Estate file."`
}

// Help returns the detailed help text.
func (c *CheckCommand) Help() string {
	return "Example:\n  cuminlift check examples/seminars.json"
}

// Run implements the command.
func (c *CheckCommand) Run(e *Environment) error {
	_, parsed, err := readEstate(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Stdout, "%s: estate %s with %d services is valid\n", c.File, parsed.GetName(), len(parsed.GetServices()))
	return err
}

// ApplyCommand applies an estate file.
type ApplyCommand struct {
	Connection
	File   string        `arg:"" help:"Estate file."`
	Base   uint64        `help:"Version that the file is based on; 0 for the active version."`
	Reason string        `help:"Reason recorded in the audit log." required:""`
	Plan   bool          `help:"Print the changes without applying them."`
	Wait   time.Duration `help:"Maximum time to wait until all live instances use the new version." default:"10s"`
}

// Help returns the detailed help text.
func (c *ApplyCommand) Help() string {
	return "Examples:\n  cuminlift apply --plan --reason 'longer queue' seminars.json\n  cuminlift apply --base 4 --reason 'longer queue' seminars.json"
}

// Run implements the command.
func (c *ApplyCommand) Run(e *Environment) error {
	text, _, err := readEstate(c.File)
	if err != nil {
		return err
	}
	return submitChange(e, &c.Connection, &schema.ChangeRequest{
		Base:   c.Base,
		Reason: c.Reason,
		Text:   string(text),
		Plan:   c.Plan,
	}, c.Wait)
}

// submitChange sends a change to the operator API and waits until all live instances use the new version.
func submitChange(e *Environment, connection *Connection, request *schema.ChangeRequest, wait time.Duration) error {
	client, err := connection.client()
	if err != nil {
		return err
	}
	reply, err := client.Change(e.Context, request)
	if err != nil {
		return err
	}
	if reply.GetUnknown() {
		return &ExitError{
			Code:  ExitUnknownOutcome,
			Cause: fmt.Errorf("%s", reply.GetError()),
		}
	}
	if reply.GetError() != "" {
		return fmt.Errorf("%s", reply.GetError())
	}
	start := time.Now()
	err = connection.print(e, reply, func(w io.Writer) {
		for _, line := range reply.GetChanges() {
			fmt.Fprintln(w, line)
		}
		if request.GetPlan() {
			fmt.Fprintf(w, "would be version %d\n", reply.GetVersion())
			return
		}
		fmt.Fprintf(w, "accepted as version %d\n", reply.GetVersion())
	})
	if err != nil || request.GetPlan() || wait <= 0 {
		return err
	}
	return waitUntilActive(e, connection, client, reply.GetVersion(), start, wait)
}

// waitUntilActive polls until every live instance uses version. On timeout, the error lists the instances that do not.
func waitUntilActive(e *Environment, connection *Connection, client *operator.Client, version uint64, start time.Time, wait time.Duration) error {
	var outdated []string
	for time.Since(start) < wait {
		status, err := client.Status(e.Context)
		if err != nil {
			return err
		}
		outdated = outdatedMembers(status, version)
		if len(outdated) == 0 {
			if connection.Format == "text" {
				fmt.Fprintf(e.Stdout, "active on all %d instances after %v\n", countAlive(status)+1, time.Since(start).Round(time.Millisecond))
			}
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("version %d was accepted but is not yet active on %v: they receive it as soon as they are reachable", version, outdated)
}

func countAlive(status *schema.StatusReply) int {
	n := 0
	for _, m := range status.GetMembers() {
		if m.GetAlive() {
			n++
		}
	}
	return n
}

func outdatedMembers(status *schema.StatusReply, version uint64) []string {
	var outdated []string
	if status.GetConfiguration().GetVersion() < version {
		outdated = append(outdated, status.GetSelf().GetName())
	}
	for _, m := range status.GetMembers() {
		if m.GetAlive() && m.GetConfiguration() < version {
			outdated = append(outdated, m.GetMember().GetName())
		}
	}
	return outdated
}

// GetCommand prints the active estate configuration.
type GetCommand struct {
	Connection
}

// Run implements the command.
func (c *GetCommand) Run(e *Environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Estate(e.Context)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Stderr, "version %d by %s: %s\n", reply.GetConfiguration().GetVersion(),
		reply.GetConfiguration().GetAuthor(), reply.GetConfiguration().GetReason())
	return c.print(e, reply, func(w io.Writer) { fmt.Fprint(w, reply.GetText()) })
}

// DiffCommand compares an estate file with the active configuration.
type DiffCommand struct {
	Connection
	File string `arg:"" help:"Estate file."`
}

// Run implements the command.
func (c *DiffCommand) Run(e *Environment) error {
	_, desired, err := readEstate(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Estate(e.Context)
	if err != nil {
		return err
	}
	current := &schema.Estate{}
	if reply.GetText() != "" {
		if current, err = estate.Parse("active estate", []byte(reply.GetText())); err != nil {
			return err
		}
	}
	lines := estate.Diff(current, desired)
	return c.print(e, &schema.ChangeReply{
		Changes: lines,
		Version: reply.GetConfiguration().GetVersion(),
	}, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
		if len(lines) == 0 {
			fmt.Fprintf(w, "no difference from version %d\n", reply.GetConfiguration().GetVersion())
		}
	})
}

// Target holds the arguments that select the zone, instance or upstream of the out and in commands.
type Target struct {
	Kind   string        `arg:"" enum:"zone,instance,upstream" help:"Type of the target: zone, instance or upstream."`
	Name   string        `arg:"" help:"Name of the target."`
	Base   uint64        `help:"Version that the change is based on; 0 for the active version."`
	Reason string        `help:"Reason recorded in the audit log." required:""`
	Wait   time.Duration `help:"Maximum time to wait until all live instances use the new version." default:"10s"`
}

func (t *Target) entry() *schema.Out {
	return &schema.Out{
		Kind: t.Kind,
		Name: t.Name,
	}
}

// OutCommand takes a zone, an instance or an upstream out of service.
type OutCommand struct {
	Connection
	Target
	Force bool `help:"Proceed even if too few upstreams would remain in service."`
	Plan  bool `help:"Print the changes without applying them."`
}

// Help returns the detailed help text.
func (c *OutCommand) Help() string {
	return "Example:\n  cuminlift out zone zone-b --reason 'cooling is being repaired'"
}

// Run implements the command.
func (c *OutCommand) Run(e *Environment) error {
	return submitChange(e, &c.Connection, &schema.ChangeRequest{
		Base:   c.Base,
		Reason: c.Reason,
		Out:    c.entry(),
		Force:  c.Force,
		Plan:   c.Plan,
	}, c.Wait)
}

// InCommand returns a zone, an instance or an upstream to service.
type InCommand struct {
	Connection
	Target
}

// Run implements the command.
func (c *InCommand) Run(e *Environment) error {
	return submitChange(e, &c.Connection, &schema.ChangeRequest{
		Base:   c.Base,
		Reason: c.Reason,
		In:     c.entry(),
	}, c.Wait)
}

// StatusCommand shows the cluster state as seen by an instance.
type StatusCommand struct {
	Connection
}

// Run implements the command.
func (c *StatusCommand) Run(e *Environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Status(e.Context)
	if err != nil {
		return err
	}
	return c.print(e, reply, func(w io.Writer) { printStatus(w, reply) })
}

func printStatus(w io.Writer, s *schema.StatusReply) {
	fmt.Fprintf(w, "instance %s, zone %s, configuration %d\n", s.GetSelf().GetName(), s.GetSelf().GetZone(), s.GetConfiguration().GetVersion())
	for _, o := range s.GetConfiguration().GetOut() {
		fmt.Fprintf(w, "out: %s %s by %s since %s\n", o.GetKind(), o.GetName(), o.GetAuthor(), time.UnixMilli(o.GetAtMs()).UTC().Format(time.RFC3339))
	}
	for _, m := range s.GetMembers() {
		fmt.Fprintf(w, "peer %s, zone %s, %s, configuration %d\n", m.GetMember().GetName(), m.GetMember().GetZone(), memberState(m), m.GetConfiguration())
	}
	for _, service := range s.GetServices() {
		fmt.Fprintf(w, "service %s, document %d, %d slices\n", service.GetName(), service.GetVersion(), service.GetSlices())
		for _, p := range service.GetPools() {
			fmt.Fprintf(w, "  pool %s, home %s\n", p.GetZone(), p.GetHome())
		}
		upstreams := service.GetUpstreams()
		sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].GetName() < upstreams[j].GetName() })
		for _, u := range upstreams {
			fmt.Fprintf(w, "  upstream %s, zone %s, %s, %d slices\n", u.GetName(), u.GetZone(), u.GetAddress(), u.GetSlices())
		}
	}
}

func memberState(m *schema.MemberStatus) string {
	switch {
	case m.GetLeaving():
		return "leaving"
	case m.GetAlive():
		return "alive"
	}
	return "silent"
}

// OwnerCommand shows which upstream owns a key.
type OwnerCommand struct {
	Connection
	Service    string `arg:"" help:"Service name."`
	RoutingKey string `arg:"" name:"of-key" help:"Routing key."`
}

// Run implements the command.
func (c *OwnerCommand) Run(e *Environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Owner(e.Context, c.Service, c.RoutingKey)
	if err != nil {
		return err
	}
	if reply.GetError() != "" {
		return fmt.Errorf("%s", reply.GetError())
	}
	return c.print(e, reply, func(w io.Writer) {
		fmt.Fprintf(w, "%s in zone %s owns %q (hash %s) as of document %d; requests go through %s\n",
			reply.GetUpstream(), reply.GetZone(), reply.GetKey(), reply.GetHash(), reply.GetVersion(), reply.GetHome())
	})
}

// AuditCommand lists accepted changes.
type AuditCommand struct {
	Connection
	Subject string `arg:"" optional:"" help:"Subject prefix, for example configuration or ownership/calendar."`
}

// Run implements the command.
func (c *AuditCommand) Run(e *Environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Audit(e.Context, c.Subject)
	if err != nil {
		return err
	}
	if reply.GetError() != "" {
		return fmt.Errorf("%s", reply.GetError())
	}
	return c.print(e, reply, func(w io.Writer) {
		for _, r := range reply.GetRecords() {
			fmt.Fprintf(w, "%s %s %s: %s -> %s: %s (%s)\n", time.UnixMilli(r.GetAtMs()).UTC().Format(time.RFC3339Nano),
				r.GetAuthor(), r.GetSubject(), r.GetFrom(), r.GetTo(), r.GetReason(), r.GetResult())
		}
	})
}

// ForgetCommand declares that a member has terminated.
type ForgetCommand struct {
	Connection
	Member string `arg:"" help:"Member ID as shown by status, NAME/INCARNATION. Its process must have terminated."`
}

// Run implements the command.
func (c *ForgetCommand) Run(e *Environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.Forget(e.Context, c.Member); err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.Stdout, "member declared terminated; its responsibilities are reassigned")
	return err
}
