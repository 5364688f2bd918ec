package daemon

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"cuminlift/schema"
)

func (d *Daemon) getEstate(w http.ResponseWriter, _ *http.Request) {
	c := d.current.Load()
	if c == nil {
		writeReply(w, http.StatusOK, &schema.EstateReply{})
		return
	}
	writeReply(w, http.StatusOK, &schema.EstateReply{
		Configuration: c.record,
		Text:          string(c.text),
	})
}

func (d *Daemon) getOwner(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("service")
	key := r.URL.Query().Get("key")
	s := d.service(name)
	if s == nil || !s.currentSpec().GetKeyed() {
		writeReply(w, http.StatusNotFound, &schema.OwnerReply{
			Error: fmt.Sprintf("%q is not a keyed service: see \"cuminlift status\" for the services", name),
		})
		return
	}
	hash := xxhash.Sum64String(key)
	route := s.route(hash)
	writeReply(w, http.StatusOK, &schema.OwnerReply{
		Service:  name,
		Key:      key,
		Hash:     fmt.Sprintf("%016x", hash),
		Upstream: route.Upstream,
		Zone:     route.Zone,
		Home:     route.Home.GetId(),
		Version:  route.Version,
	})
}

func (d *Daemon) getAudit(w http.ResponseWriter, r *http.Request) {
	records, err := d.readAudit(r.Context(), r.URL.Query().Get("subject"))
	if err != nil {
		writeReply(w, http.StatusServiceUnavailable, &schema.AuditReply{
			Error: err.Error(),
		})
		return
	}
	writeReply(w, http.StatusOK, &schema.AuditReply{
		Records: records,
	})
}

func (d *Daemon) postForget(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("member")
	d.members.declareEnded(id)
	d.audit.add("membership/"+id, "unknown", "ended", "declared by "+operatorName(r))
	writeReply(w, http.StatusOK, &schema.ChangeReply{})
}

func (d *Daemon) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, http.StatusOK, d.Status())
}

// Status returns the state of the members and services as seen by this instance.
func (d *Daemon) Status() *schema.StatusReply {
	status := &schema.StatusReply{
		Self:    d.self,
		Metrics: map[string]int64{},
	}
	if c := d.current.Load(); c != nil {
		status.Configuration = c.record
	}
	d.metrics.Each(func(name string, value int64) { status.Metrics[name] = value })
	for _, m := range d.members.states(d.clock.Now()) {
		status.Members = append(status.Members, &schema.MemberStatus{
			Member:        m.Member,
			Alive:         m.Alive,
			Leaving:       m.Leaving,
			Configuration: m.Configuration,
		})
	}
	for _, s := range d.services() {
		status.Services = append(status.Services, s.status())
	}
	return status
}

func (s *service) status() *schema.ServiceStatus {
	document := s.document()
	status := &schema.ServiceStatus{
		Name:    s.name,
		Version: document.GetVersion(),
		Pools:   document.GetPools(),
		Slices:  uint32(len(document.GetSlices())),
		Reason:  document.GetReason(),
	}
	counts := map[string]uint32{}
	for _, slice := range document.GetSlices() {
		counts[slice.GetOwner()]++
	}
	now := s.daemon.clock.Now()
	for _, h := range document.GetHolders() {
		s.mutex.Lock()
		_, usable := s.guardian.ForwardingLease(now, h.GetName())
		s.mutex.Unlock()
		status.Upstreams = append(status.Upstreams, &schema.UpstreamStatus{
			Name:    h.GetName(),
			Zone:    h.GetZone(),
			Address: h.GetAddress(),
			Slices:  counts[h.GetName()],
			Usable:  usable,
		})
	}
	return status
}
