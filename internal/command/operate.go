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

// readText returns the content of a text file, and the estate in it.
func readText(file string) ([]byte, *schema.Estate, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: give the path of an estate text, see examples/", err)
	}
	parsed, err := estate.Parse(file, text)
	return text, parsed, err
}

// CheckCommand checks a text.
type CheckCommand struct {
	File string `arg:"" help:"Estate text."`
}

// Help returns examples.
func (c *CheckCommand) Help() string {
	return "Example:\n  cuminlift check examples/seminars.json"
}

// Run implements the command.
func (c *CheckCommand) Run(e *Environment) error {
	_, parsed, err := readText(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Out, "%s: estate %s with %d services is sound\n", c.File, parsed.GetName(), len(parsed.GetServices()))
	return err
}

// ApplyCommand applies a text.
type ApplyCommand struct {
	Connection
	File   string        `arg:"" help:"Estate text."`
	Base   uint64        `help:"Version that the text was made from; 0 takes whichever is in force."`
	Reason string        `help:"Why, for the audit trail." required:""`
	Plan   bool          `help:"Only tell what would change."`
	Wait   time.Duration `help:"How long to wait until it is in force everywhere." default:"10s"`
}

// Help returns examples.
func (c *ApplyCommand) Help() string {
	return "Examples:\n  cuminlift apply --plan --reason 'longer queue' seminars.json\n  cuminlift apply --base 4 --reason 'longer queue' seminars.json"
}

// Run implements the command.
func (c *ApplyCommand) Run(e *Environment) error {
	text, _, err := readText(c.File)
	if err != nil {
		return err
	}
	return change(e, &c.Connection, &schema.ChangeRequest{
		Base:   c.Base,
		Reason: c.Reason,
		Text:   string(text),
		Plan:   c.Plan,
	}, c.Wait)
}

// change asks for a change and waits until it is in force.
func change(e *Environment, connection *Connection, request *schema.ChangeRequest, wait time.Duration) error {
	client, err := connection.client()
	if err != nil {
		return err
	}
	reply, err := client.Change(e.Context, request)
	if err != nil {
		return err
	}
	if reply.GetUnknown() {
		return &CodeError{
			Code:  ExitUnknown,
			Cause: fmt.Errorf("%s", reply.GetError()),
		}
	}
	if reply.GetError() != "" {
		return fmt.Errorf("%s", reply.GetError())
	}
	began := time.Now()
	err = connection.show(e, reply, func(w io.Writer) {
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
	return waitInForce(e, connection, client, reply.GetVersion(), began, wait)
}

// waitInForce waits until every instance that is alive has the version, and tells which lack it otherwise.
func waitInForce(e *Environment, connection *Connection, client *operator.Client, version uint64, began time.Time, wait time.Duration) error {
	var lacking []string
	for time.Since(began) < wait {
		status, err := client.Status(e.Context)
		if err != nil {
			return err
		}
		lacking = lackingMembers(status, version)
		if len(lacking) == 0 {
			if connection.Format == "text" {
				fmt.Fprintf(e.Out, "in force on all %d instances after %v\n", alive(status)+1, time.Since(began).Round(time.Millisecond))
			}
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("version %d is accepted, but not yet in force on %v: they get it once they are reachable", version, lacking)
}

func alive(status *schema.StatusReply) int {
	n := 0
	for _, m := range status.GetMembers() {
		if m.GetAlive() {
			n++
		}
	}
	return n
}

func lackingMembers(status *schema.StatusReply, version uint64) []string {
	var lacking []string
	if status.GetConfiguration().GetVersion() < version {
		lacking = append(lacking, status.GetSelf().GetName())
	}
	for _, m := range status.GetMembers() {
		if m.GetAlive() && m.GetConfiguration() < version {
			lacking = append(lacking, m.GetMember().GetName())
		}
	}
	return lacking
}

// GetCommand prints the text in force.
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
	fmt.Fprintf(e.Errors, "version %d by %s: %s\n", reply.GetConfiguration().GetVersion(),
		reply.GetConfiguration().GetAuthor(), reply.GetConfiguration().GetReason())
	return c.show(e, reply, func(w io.Writer) { fmt.Fprint(w, reply.GetText()) })
}

// DiffCommand compares a text with the one in force.
type DiffCommand struct {
	Connection
	File string `arg:"" help:"Estate text."`
}

// Run implements the command.
func (c *DiffCommand) Run(e *Environment) error {
	_, wanted, err := readText(c.File)
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
		if current, err = estate.Parse("estate in force", []byte(reply.GetText())); err != nil {
			return err
		}
	}
	lines := estate.Diff(current, wanted)
	return c.show(e, &schema.ChangeReply{
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

// Place names what is taken out or in.
type Place struct {
	Kind   string        `arg:"" enum:"zone,instance,upstream" help:"zone, instance or upstream."`
	Name   string        `arg:"" help:"Its name."`
	Base   uint64        `help:"Version that you looked at; 0 takes whichever is in force."`
	Reason string        `help:"Why, for the audit trail." required:""`
	Wait   time.Duration `help:"How long to wait until it is in force everywhere." default:"10s"`
}

func (p *Place) out() *schema.Out {
	return &schema.Out{
		Kind: p.Kind,
		Name: p.Name,
	}
}

// OutCommand takes something out of service.
type OutCommand struct {
	Connection
	Place
	Force bool `help:"Also where too little would stay in service."`
	Plan  bool `help:"Only tell what would change."`
}

// Help returns examples.
func (c *OutCommand) Help() string {
	return "Example:\n  cuminlift out zone zone-b --reason 'cooling is being repaired'"
}

// Run implements the command.
func (c *OutCommand) Run(e *Environment) error {
	return change(e, &c.Connection, &schema.ChangeRequest{
		Base:   c.Base,
		Reason: c.Reason,
		Out:    c.out(),
		Force:  c.Force,
		Plan:   c.Plan,
	}, c.Wait)
}

// InCommand takes something back into service.
type InCommand struct {
	Connection
	Place
}

// Run implements the command.
func (c *InCommand) Run(e *Environment) error {
	return change(e, &c.Connection, &schema.ChangeRequest{
		Base:   c.Base,
		Reason: c.Reason,
		In:     c.out(),
	}, c.Wait)
}

// StatusCommand shows what an instance sees.
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
	return c.show(e, reply, func(w io.Writer) { printStatus(w, reply) })
}

func printStatus(w io.Writer, s *schema.StatusReply) {
	fmt.Fprintf(w, "instance %s, zone %s, configuration %d\n", s.GetSelf().GetName(), s.GetSelf().GetZone(), s.GetConfiguration().GetVersion())
	for _, o := range s.GetConfiguration().GetOut() {
		fmt.Fprintf(w, "out: %s %s by %s since %s\n", o.GetKind(), o.GetName(), o.GetAuthor(), time.UnixMilli(o.GetAtMs()).UTC().Format(time.RFC3339))
	}
	for _, m := range s.GetMembers() {
		fmt.Fprintf(w, "peer %s, zone %s, %s, configuration %d\n", m.GetMember().GetName(), m.GetMember().GetZone(), memberWord(m), m.GetConfiguration())
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

func memberWord(m *schema.MemberStatus) string {
	switch {
	case m.GetLeaving():
		return "leaving"
	case m.GetAlive():
		return "alive"
	}
	return "silent"
}

// OwnerCommand tells who owns a key.
type OwnerCommand struct {
	Connection
	Service string `arg:"" help:"Service."`
	OwnedBy string `arg:"" name:"of-key" help:"Key."`
}

// Run implements the command.
func (c *OwnerCommand) Run(e *Environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Owner(e.Context, c.Service, c.OwnedBy)
	if err != nil {
		return err
	}
	if reply.GetError() != "" {
		return fmt.Errorf("%s", reply.GetError())
	}
	return c.show(e, reply, func(w io.Writer) {
		fmt.Fprintf(w, "%s in zone %s owns %q (hash %s) as of document %d; requests go through %s\n",
			reply.GetUpstream(), reply.GetZone(), reply.GetKey(), reply.GetHash(), reply.GetVersion(), reply.GetHome())
	})
}

// AuditCommand lists accepted changes.
type AuditCommand struct {
	Connection
	Subject string `arg:"" optional:"" help:"Start of the subject, as in configuration or ownership/calendar."`
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
	return c.show(e, reply, func(w io.Writer) {
		for _, r := range reply.GetRecords() {
			fmt.Fprintf(w, "%s %s %s: %s -> %s: %s (%s)\n", time.UnixMilli(r.GetAtMs()).UTC().Format(time.RFC3339Nano),
				r.GetAuthor(), r.GetSubject(), r.GetFrom(), r.GetTo(), r.GetReason(), r.GetResult())
		}
	})
}

// ForgetCommand declares a member ended.
type ForgetCommand struct {
	Connection
	Member string `arg:"" help:"Member id as in status, NAME/INCARNATION. Its process must surely have ended."`
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
	_, err = fmt.Fprintln(e.Out, "declared ended; its part is given to others")
	return err
}
