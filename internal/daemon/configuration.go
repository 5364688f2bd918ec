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

// activeConfiguration is an accepted configuration that this instance serves. It is immutable.
type activeConfiguration struct {
	record       *schema.Configuration
	text         []byte
	estate       *schema.Estate
	services     map[string]*service
	serviceNames []string
	// routes is nil if the estate defines none; services are then selected by path prefix.
	routes *route.Table
}

// Digest returns the SHA-256 of text in hexadecimal, the name under which the text is stored.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// services returns the services of the active configuration in the estate's order.
func (d *Daemon) services() []*service {
	c := d.current.Load()
	if c == nil {
		return nil
	}
	services := make([]*service, 0, len(c.serviceNames))
	for _, name := range c.serviceNames {
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

func (c *activeConfiguration) version() uint64 {
	if c == nil {
		return 0
	}
	return c.record.GetVersion()
}

// applyConfigurationRow activates the row's configuration. It returns false if the configuration's text is not
// available yet, so that the row is read again.
func (d *Daemon) applyConfigurationRow(ctx context.Context, row *schema.Row) bool {
	record := &schema.Configuration{}
	if err := proto.Unmarshal(row.GetValue(), record); err != nil {
		d.logs.For("configuration").WithError(err).Error("cannot decode configuration record; keeping the active configuration")
		return true
	}
	record.Version = row.GetVersion()
	if record.GetVersion() <= d.configurationVersion() {
		return true
	}
	text, err := d.fetchConfigurationText(ctx, record.GetDigest())
	if err != nil {
		d.logs.For("configuration").WithError(err).Warn("configuration text is not available yet; keeping the active configuration")
		return false
	}
	d.applyConfiguration(record, text)
	return true
}

// fetchConfigurationText returns the text with the given digest, from the active configuration if it matches, or else
// from the object store.
func (d *Daemon) fetchConfigurationText(ctx context.Context, digest string) ([]byte, error) {
	if c := d.current.Load(); c != nil && c.record.GetDigest() == digest {
		return c.text, nil
	}
	text, err := d.objects.Get(ctx, objectPrefix+digest)
	if err != nil {
		return nil, err
	}
	if Digest(text) != digest {
		return nil, &DigestMismatchError{
			Digest: digest,
		}
	}
	return text, nil
}

// DigestMismatchError reports an object whose content does not match the digest in its name.
type DigestMismatchError struct {
	Digest string
}

func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("object store returned content that does not match digest %s: retrying; check the store if this persists", e.Digest)
}

// applyConfiguration activates record unless the active configuration is at least as new. Versions only increase, so a
// configuration never reverts.
func (d *Daemon) applyConfiguration(record *schema.Configuration, text []byte) {
	d.applyMutex.Lock()
	defer d.applyMutex.Unlock()
	old := d.current.Load()
	if record.GetVersion() <= old.version() || Digest(text) != record.GetDigest() {
		return
	}
	parsed, err := estate.Parse("estate "+record.GetDigest(), text)
	if err != nil {
		d.logs.For("configuration").WithError(err).Error("cannot parse accepted configuration; keeping the active configuration")
		return
	}
	routes, err := estate.RouteTable(record.GetVersion(), parsed)
	if err != nil {
		d.logs.For("configuration").WithError(err).Error("cannot build routes of accepted configuration; keeping the active configuration")
		return
	}
	next := &activeConfiguration{
		record:   record,
		text:     text,
		estate:   parsed,
		services: map[string]*service{},
		routes:   routes,
	}
	for i, spec := range parsed.GetServices() {
		next.serviceNames = append(next.serviceNames, spec.GetName())
		next.services[spec.GetName()] = d.reuseOrCreateService(old, spec, i)
	}
	d.current.Store(next)
	d.traceConfiguration(old, next)
	d.metrics.Set(metrics.ConfigurationVersion, int64(record.GetVersion()))
	d.logs.For("configuration").WithField("version", record.GetVersion()).WithField("author", record.GetAuthor()).
		WithField("reason", record.GetReason()).Info("configuration applied")
}

// traceConfiguration records the activation, and the zones that were taken out of service or returned to it.
func (d *Daemon) traceConfiguration(old, next *activeConfiguration) {
	d.trace.recordOutcome(&schema.Outcome{
		Kind:    "in-force",
		Subject: d.self.GetId(),
		Fence:   next.version(),
	})
	zones := map[string]bool{}
	for _, o := range next.record.GetOut() {
		zones[o.GetName()] = o.GetKind() == "zone"
		if o.GetKind() == "zone" && (old == nil || !old.isOut("zone", o.GetName())) {
			d.trace.recordOutcome(&schema.Outcome{
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
			d.trace.recordOutcome(&schema.Outcome{
				Kind:    "zone-in",
				Subject: o.GetName(),
			})
		}
	}
}

// reuseOrCreateService returns the running service with its specification updated, or a new service if there is none or
// its keyed mode changed.
func (d *Daemon) reuseOrCreateService(old *activeConfiguration, spec *schema.Service, index int) *service {
	if old != nil {
		if s := old.services[spec.GetName()]; s != nil && s.currentSpec().GetKeyed() == spec.GetKeyed() {
			s.setSpec(spec)
			return s
		}
	}
	return newService(d, spec, index)
}

// attachConfiguration adds the active version to a heartbeat, and the whole configuration if the receiver is known to
// have an older one.
func (d *Daemon) attachConfiguration(h *schema.Heartbeat, to string) {
	c := d.current.Load()
	if c == nil {
		return
	}
	h.ConfigurationVersion = c.version()
	if d.members.hasOlderConfiguration(to, c.version(), d.clock.Now()) {
		h.Configuration = c.record
		h.Text = c.text
	}
}

func (d *Daemon) adoptPeerConfiguration(h *schema.Heartbeat) {
	if h.GetConfiguration().GetVersion() > d.configurationVersion() {
		d.applyConfiguration(h.GetConfiguration(), h.GetText())
	}
}

// isOut reports whether operators took the zone, instance or upstream out of service.
func (c *activeConfiguration) isOut(kind, name string) bool {
	out := c.record.GetOut()
	i := sort.Search(len(out), func(i int) bool {
		return out[i].GetKind() > kind || (out[i].GetKind() == kind && out[i].GetName() >= name)
	})
	return i < len(out) && out[i].GetKind() == kind && out[i].GetName() == name
}
