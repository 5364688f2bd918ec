package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"cuminlift/core/admission"
	"cuminlift/core/request"
	"cuminlift/internal/metrics"
	"cuminlift/io/answer"
	"cuminlift/io/tcp"
	"cuminlift/schema"
)

// forwardToPeer forwards the call to the instance that is the home of the zone's pool.
func (d *Daemon) forwardToPeer(ctx context.Context, c *call, home *schema.Member, zone string) (*upstreamResponse, *refusal) {
	d.metrics.Add(metrics.Forwarded, 1)
	if d.config.Allow != nil && !d.config.Allow(home.GetForward()) {
		f := newNotRunRefusal(reasonHomeLost, d.config.Timing.ConfirmationTTL)
		f.retryElsewhere = true
		return nil, f
	}
	var conn net.Conn
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	outgoing, err := http.NewRequestWithContext(traced, c.method, "https://"+home.GetForward()+c.uri, bytes.NewReader(c.body))
	if err != nil {
		return nil, newNotRunRefusal(reasonNoHome, time.Second)
	}
	copyHeader(outgoing.Header, c.header)
	c.setForwardHeader(outgoing.Header, zone)
	response, err := d.peerTransport.RoundTrip(outgoing)
	if err != nil {
		return nil, d.forwardFailure(ctx, c, conn != nil)
	}
	if err := answer.CheckHead(response); err != nil {
		_ = response.Body.Close()
		_ = conn.Close()
		d.logs.For("caller").WithError(err).WithField("home", home.GetId()).WithField("request", c.id).Warn("another instance's answer is not valid")
		return nil, d.forwardFailure(ctx, c, true)
	}
	if f := parseRefusal(response); f != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes))
		_ = response.Body.Close()
		return nil, f
	}
	return &upstreamResponse{
		response: response,
		release:  func(admission.Result) { _ = response.Body.Close() },
	}, nil
}

func (d *Daemon) forwardFailure(ctx context.Context, c *call, connected bool) *refusal {
	f := newNotRunRefusal(reasonHomeLost, d.config.Timing.ConfirmationTTL)
	if !connected {
		f.retryElsewhere = true
		return f
	}
	f.executionStatus = request.Unknown
	f.status = http.StatusBadGateway
	f.retryElsewhere = c.idempotent && ctx.Err() == nil
	if ctx.Err() != nil {
		f.reason = reasonDeadline
		f.status = http.StatusGatewayTimeout
	}
	return f
}

func (c *call) setForwardHeader(h http.Header, zone string) {
	h.Set(headerRequestID, c.id)
	h.Set(headerService, c.service.name)
	h.Set(headerZone, zone)
	h.Set(headerHash, strconv.FormatUint(c.hash, 16))
	h.Set(headerClass, c.class.String())
	h.Set(headerDeadline, strconv.FormatInt(c.remainingMs(), 10))
	h.Set(headerIdempotent, strconv.FormatBool(c.idempotent))
	h.Set(headerSoft, strconv.FormatBool(c.soft))
}

// serveForward handles a call that another instance forwarded.
func (d *Daemon) serveForward(w http.ResponseWriter, r *http.Request) {
	s := d.service(r.Header.Get(headerService))
	if s == nil {
		newNotRunRefusal(reasonNoSuchService, d.config.Timing.HeartbeatInterval).write(w, d.self.GetName())
		return
	}
	hash, err := strconv.ParseUint(r.Header.Get(headerHash), 16, 64)
	if err != nil {
		f := newNotRunRefusal(reasonBodyUnreadable, time.Minute)
		f.status = http.StatusBadRequest
		f.write(w, d.self.GetName())
		return
	}
	c := &call{
		id:         r.Header.Get(headerRequestID),
		service:    s,
		class:      parseClass(r.Header.Get(headerClass)),
		idempotent: r.Header.Get(headerIdempotent) == "true" && idempotent(r.Method),
		hash:       hash,
		soft:       r.Header.Get(headerSoft) == "true",
		method:     r.Method,
		uri:        r.URL.RequestURI(),
		header:     r.Header,
	}
	f := c.setDeadline(time.Duration(s.currentSpec().GetDeadlineMs())*time.Millisecond, r.Header.Get(headerDeadline))
	if f == nil {
		f = c.readBody(w, r)
	}
	if f != nil {
		f.write(w, d.self.GetName())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a, f := d.serveAsHome(ctx, c, r.Header.Get(headerZone))
	if f != nil {
		f.write(w, d.self.GetName())
		return
	}
	d.forwardResponse(w, c, a)
}

func (d *Daemon) newPeerTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 2 * maxHeaderBytes,
		TLSClientConfig:        d.identity.Client("http/1.1"),
		DialContext: tcp.DetectResets((&net.Dialer{
			Timeout: d.config.Timing.SuspectTimeout / 2,
		}).DialContext),
	}
}
