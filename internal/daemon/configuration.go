package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	"cuminlift/core/estate"
	"cuminlift/core/route"
	"cuminlift/internal/metrics"
	"cuminlift/schema"
)

// inForce is a configuration in force. It is never changed after it was made.
type inForce struct {
	record   *schema.Configuration
	text     []byte
	estate   *schema.Estate
	services map[string]*service
	order    []string
	// routes is nil where the estate has none: then the services' path prefixes decide.
	routes *route.Table
}

// ContentDigest returns the name under which a text is stored.
func ContentDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// services returns the services in force, in the estate's order.
func (d *Daemon) services() []*service {
	c := d.current.Load()
	if c == nil {
		return nil
	}
	services := make([]*service, 0, len(c.order))
	for _, name := range c.order {
		services = append(services, c.services[name])
	}
	return services
}

func (d *Daemon) service(name string) *service {
	c := d.current.Load()
	if c == nil {
		return nil
	}
	return c.services[name]
}

func (d *Daemon) configurationVersion() uint64 {
	return d.current.Load().version()
}

func (c *inForce) version() uint64 {
	if c == nil {
		return 0
	}
	return c.record.GetVersion()
}

// takeConfigurationRow puts the row's configuration in force. It reports false where its text can't be had yet.
func (d *Daemon) takeConfigurationRow(ctx context.Context, row *schema.Row) bool {
	record := &schema.Configuration{}
	if err := proto.Unmarshal(row.GetValue(), record); err != nil {
		d.logs.For("configuration").WithError(err).Error("record can't be read; the configuration in force stays")
		return true
	}
	record.Version = row.GetVersion()
	if record.GetVersion() <= d.configurationVersion() {
		return true
	}
	text, err := d.fetchText(ctx, record.GetDigest())
	if err != nil {
		d.logs.For("configuration").WithError(err).Warn("text can't be had yet; the configuration in force stays")
		return false
	}
	d.apply(record, text)
	return true
}

// fetchText returns the text with digest: the one in force if it is the same, or else the store's.
func (d *Daemon) fetchText(ctx context.Context, digest string) ([]byte, error) {
	if c := d.current.Load(); c != nil && c.record.GetDigest() == digest {
		return c.text, nil
	}
	text, err := d.objects.Get(ctx, objectPrefix+digest)
	if err != nil {
		return nil, err
	}
	if ContentDigest(text) != digest {
		return nil, &DigestMismatchError{
			Digest: digest,
		}
	}
	return text, nil
}

// DigestMismatchError reports an object whose content is not what its name says.
type DigestMismatchError struct {
	Digest string
}

func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("object store returned another text than %s: it is asked again; check the store if this goes on", e.Digest)
}

// apply puts record in force unless a newer one already is. Versions only grow, so that nothing reverts.
func (d *Daemon) apply(record *schema.Configuration, text []byte) {
	d.applying.Lock()
	defer d.applying.Unlock()
	old := d.current.Load()
	if record.GetVersion() <= old.version() || ContentDigest(text) != record.GetDigest() {
		return
	}
	parsed, err := estate.Parse("estate "+record.GetDigest(), text)
	if err != nil {
		d.logs.For("configuration").WithError(err).Error("accepted text can't be read; the configuration in force stays")
		return
	}
	routes, err := estate.Routes(record.GetVersion(), parsed)
	if err != nil {
		d.logs.For("configuration").WithError(err).Error("routes of the accepted text can't be served; the configuration in force stays")
		return
	}
	next := &inForce{
		record:   record,
		text:     text,
		estate:   parsed,
		services: map[string]*service{},
		routes:   routes,
	}
	for i, spec := range parsed.GetServices() {
		next.order = append(next.order, spec.GetName())
		next.services[spec.GetName()] = d.keepOrMake(old, spec, i)
	}
	d.current.Store(next)
	d.traceConfiguration(old, next)
	d.metrics.Set(metrics.ConfigurationVersion, int64(record.GetVersion()))
	d.logs.For("configuration").WithField("version", record.GetVersion()).WithField("author", record.GetAuthor()).
		WithField("reason", record.GetReason()).Info("configuration in force")
}

// traceConfiguration records what came into force, and which zones went out or came back.
func (d *Daemon) traceConfiguration(old, next *inForce) {
	d.trace.outcome(&schema.Outcome{
		Kind:    "in-force",
		Subject: d.self.GetId(),
		Fence:   next.version(),
	})
	zones := map[string]bool{}
	for _, o := range next.record.GetOut() {
		zones[o.GetName()] = o.GetKind() == "zone"
		if o.GetKind() == "zone" && (old == nil || !old.isOut("zone", o.GetName())) {
			d.trace.outcome(&schema.Outcome{
				Kind:    "zone-out",
				Subject: o.GetName(),
			})
		}
	}
	if old == nil {
		return
	}
	for _, o := range old.record.GetOut() {
		if o.GetKind() == "zone" && !zones[o.GetName()] {
			d.trace.outcome(&schema.Outcome{
				Kind:    "zone-in",
				Subject: o.GetName(),
			})
		}
	}
}

// keepOrMake returns the service that runs already, with its new treatment, or a new one.
func (d *Daemon) keepOrMake(old *inForce, spec *schema.Service, index int) *service {
	if old != nil {
		if s := old.services[spec.GetName()]; s != nil && s.treatment().GetKeyed() == spec.GetKeyed() {
			s.setSpec(spec)
			return s
		}
	}
	return newService(d, spec, index)
}

// addConfiguration tells the member which version is in force here, and all of it where it is known to have an older one.
func (d *Daemon) addConfiguration(h *schema.Heartbeat, to string) {
	c := d.current.Load()
	if c == nil {
		return
	}
	h.ConfigurationVersion = c.version()
	if d.members.behind(to, c.version(), d.clock.Now()) {
		h.Configuration = c.record
		h.Text = c.text
	}
}

func (d *Daemon) hearConfiguration(h *schema.Heartbeat) {
	if h.GetConfiguration().GetVersion() > d.configurationVersion() {
		d.apply(h.GetConfiguration(), h.GetText())
	}
}

// isOut reports whether operators took something out of service.
func (c *inForce) isOut(kind, name string) bool {
	out := c.record.GetOut()
	i := sort.Search(len(out), func(i int) bool {
		return out[i].GetKind() > kind || (out[i].GetKind() == kind && out[i].GetName() >= name)
	})
	return i < len(out) && out[i].GetKind() == kind && out[i].GetName() == name
}
