package ownership

import (
	"time"

	"cuminlift/schema"
)

// never precedes every other time.
const never = -time.Duration(1 << 62)

// Planner proposes the next document. Plan returns nil if nothing should change.
type Planner interface {
	Plan(document *schema.Ownership, input PlanInput) *schema.Ownership
}

// PlanInput is the state that a plan is based on.
type PlanInput struct {
	// Members are the live members that are not leaving, sorted by id.
	Members []*schema.Member
	// RemovableGuardians holds the ids of guardians that have ended or are leaving.
	RemovableGuardians map[string]bool
	// Upstreams is the platform's list for the service, sorted by name.
	Upstreams []*schema.ListedUpstream
	// Down holds the upstreams that do not answer.
	Down map[string]bool
	// Alive holds the upstreams that answer.
	Alive map[string]bool
	// Out lists what operators have taken out of service.
	Out []*schema.Out
	// Evicted holds the holders whose slices may have gone to a standby during an outage of the platform.
	Evicted map[string]bool
	// Loads holds the measured load of each slice by its start, in requests per second.
	Loads map[uint64]*schema.SliceLoad
	// HandoversComplete is true if no slice has a previous owner that may still hold a grant for it.
	HandoversComplete bool
}

// Config configures a Guardian.
type Config struct {
	Self    *schema.Member
	Service string
	Timing  Timing
	// Keyed is false for a service whose upstreams own no slices.
	Keyed bool
	// ExtraTakeoverDelay is added to the wait before a takeover. It is 0 if upstreams check grants.
	ExtraTakeoverDelay time.Duration
	Planner            Planner
}

// Guardian is one instance's state machine for the ownership of one service. It is not safe for concurrent use.
type Guardian struct {
	config Config
	now    time.Duration
	// document is the newest known document. Its version is 0 before the first one is known.
	document *schema.Ownership
	// confirmedAt is the latest time at which document is known to have been the table's current version.
	confirmedAt time.Duration
	// adoptions is sorted by time and by version.
	adoptions      []adoption
	pending        *pendingWrite
	readSentAt     time.Duration
	readInFlight   bool
	documentAbsent bool
	peers          map[string]*peer
	// promisesGiven holds this guardian's promises not to write, by the peer that relies on them.
	promisesGiven    map[string]promise
	upstreams        map[string]*upstream
	incarnationsSeen map[string]incarnationSighting
	// lastGrantSequence numbers the grants. A number is never reused, even for an upstream that was dropped and added
	// again, so that a late reply is not mistaken for the reply to a later grant.
	lastGrantSequence uint64
	facts             *schema.Facts
	dead              map[string]bool
	// evicted and agreedEvictions apply to the current document version only.
	evicted         map[string]bool
	agreedEvictions map[string]time.Duration
	loads           map[uint64]*schema.SliceLoad
	// loadsVersion counts the measurements of this instance's own loads.
	loadsVersion uint64
	stopping     bool
	// dirty is set by a change that peers should learn without delay.
	dirty bool
	// lastPlanAt is when the last plan was computed. replan is set by an event that may call for a new plan.
	lastPlanAt time.Duration
	replan     bool
	// listeningSince is when this guardian last began to hear its peers without interruption.
	listeningSince time.Duration
	// isolated is true while all other guardians are lost.
	isolated bool
	// requestingPromises is true while this guardian requests promises from its peers.
	requestingPromises bool
	// lastBroadcastAt is when all peers were last sent a change that had set dirty.
	lastBroadcastAt time.Duration
	// idleSince is the document version as of which this instance has no request in progress for other members' pools.
	idleSince uint64
	actions   []Action
}

type adoption struct {
	version uint64
	at      time.Duration
}

type pendingWrite struct {
	// base is the version that the write replaces.
	base     uint64
	next     *schema.Ownership
	lastSent time.Duration
	inFlight bool
}

type promise struct {
	until time.Duration
	echo  uint64
}

// NewGuardian returns a guardian that knows no document yet.
func NewGuardian(config Config) *Guardian {
	return &Guardian{
		config:           config,
		document:         &schema.Ownership{Service: config.Service},
		confirmedAt:      never,
		readSentAt:       never,
		peers:            map[string]*peer{},
		promisesGiven:    map[string]promise{},
		upstreams:        map[string]*upstream{},
		incarnationsSeen: map[string]incarnationSighting{},
		facts:            &schema.Facts{},
		dead:             map[string]bool{},
		evicted:          map[string]bool{},
		agreedEvictions:  map[string]time.Duration{},
		loads:            map[uint64]*schema.SliceLoad{},
	}
}

// Step processes one event at time now and returns the resulting actions. Time must not go backwards.
func (g *Guardian) Step(now time.Duration, event *schema.OwnershipEvent) []Action {
	previousStepAt := g.now
	g.now = max(g.now, now)
	g.actions = nil
	g.updateListening(previousStepAt)
	switch event.GetKind() {
	case schema.EventKind_read:
		g.onRead(event)
	case schema.EventKind_wrote:
		g.onWrote(event)
	case schema.EventKind_heard:
		g.onView(event.GetView())
	case schema.EventKind_replied:
		g.onGrantReply(event.GetReply())
	case schema.EventKind_failed:
		g.onGrantFailed(event.GetUpstream(), event.GetSequence())
	case schema.EventKind_listed:
		g.onListed(event.GetFacts())
	case schema.EventKind_stopping:
		g.stopping = true
		g.dirty = true
		g.replan = true
	case schema.EventKind_idle:
		g.onIdle(event.GetSequence())
	case schema.EventKind_tick:
	}
	g.act()
	return g.actions
}

func (g *Guardian) act() {
	g.updateEvictions()
	g.pollTable()
	g.plan()
	g.renewGrants()
	g.sendViews()
}

func (g *Guardian) onListed(facts *schema.Facts) {
	g.facts = facts
	g.replan = true
	for _, id := range facts.GetDead() {
		g.dead[id] = true
	}
	if len(facts.GetLoads()) > 0 {
		g.loadsVersion++
		g.mergeLoads(facts.GetLoads())
	}
}

// mergeLoads merges measured loads into the moving averages.
func (g *Guardian) mergeLoads(loads []*schema.SliceLoad) {
	for _, l := range loads {
		merged := &schema.SliceLoad{
			Start:   l.GetStart(),
			Rate:    l.GetRate(),
			Hot:     l.GetHot(),
			HotRate: l.GetHotRate(),
		}
		if old := g.loads[l.GetStart()]; old != nil {
			merged.Rate = old.GetRate() + loadSmoothing*(l.GetRate()-old.GetRate())
		}
		g.loads[l.GetStart()] = merged
	}
}

// loadSmoothing is the weight of a new measurement in a slice's average load.
const loadSmoothing = 0.1

// writeTimeoutPeriods is the number of suspect timeouts after which an unanswered write counts as lost and its outcome
// as unresolved.
const writeTimeoutPeriods = 10

// pollTable requests the document from the table once per poll interval, and sooner while the outcome of a write is
// unresolved.
func (g *Guardian) pollTable() {
	if g.pending != nil && g.pending.inFlight && g.now-g.pending.lastSent >= writeTimeoutPeriods*g.config.Timing.SuspectTimeout {
		g.pending.inFlight = false
	}
	if g.readInFlight && g.now-g.readSentAt < 4*g.config.Timing.PollInterval {
		return
	}
	unresolved := g.pending != nil && !g.pending.inFlight
	// All services read at the same times, so that one request serves all of them.
	if !unresolved && g.readSentAt != never && g.now/g.config.Timing.PollInterval == g.readSentAt/g.config.Timing.PollInterval {
		return
	}
	if unresolved && g.now-g.readSentAt < g.config.Timing.PollInterval/4 {
		return
	}
	g.readInFlight = true
	g.readSentAt = g.now
	g.emit(Action{
		Read: &ReadDocument{
			StartedAt:    g.now,
			KnownVersion: g.document.GetVersion(),
		},
	})
}

func (g *Guardian) onRead(event *schema.OwnershipEvent) {
	g.readInFlight = false
	started := time.Duration(event.GetStartedUs()) * time.Microsecond
	document := event.GetDocument()
	if event.GetOutcome() == schema.WriteOutcome_unknown {
		return
	}
	if document.GetVersion() < g.document.GetVersion() {
		// A read that started before a newer version was learned says nothing about that version.
		return
	}
	g.updateLiveness(event.GetAlive())
	g.documentAbsent = document == nil
	if document != nil {
		g.adopt(document, started)
	}
	if g.pending != nil && !g.pending.inFlight && document.GetVersion() == g.pending.base {
		g.retryWrite()
	}
}

// adopt replaces the document if the given one is newer. The given document is known to have been current at
// confirmedAt.
func (g *Guardian) adopt(document *schema.Ownership, confirmedAt time.Duration) {
	if document.GetVersion() == g.document.GetVersion() {
		g.confirm(confirmedAt)
		return
	}
	if document.GetVersion() < g.document.GetVersion() {
		return
	}
	if len(document.GetHolders()) == 0 && len(document.GetGuardians()) == 0 {
		// The reply for an unchanged row has no content.
		return
	}
	if Validate(document) != nil {
		return
	}
	g.document = document
	g.confirmedAt = confirmedAt
	g.adoptions = append(g.adoptions, adoption{
		version: document.GetVersion(),
		at:      g.now,
	})
	if len(g.adoptions) > maxAdoptions {
		g.adoptions = append([]adoption(nil), g.adoptions[len(g.adoptions)-maxAdoptions:]...)
	}
	if g.pending != nil && g.pending.base < document.GetVersion() {
		g.pending = nil
	}
	g.evicted = map[string]bool{}
	g.agreedEvictions = map[string]time.Duration{}
	g.replan = true
	for _, p := range g.peers {
		p.abstainsUntil = never
		p.firstPromiseRequest = 0
	}
	g.dirty = true
}

// maxAdoptions bounds the number of versions whose adoption time is kept.
const maxAdoptions = 64

func (g *Guardian) confirm(at time.Duration) {
	if at > g.confirmedAt {
		g.confirmedAt = at
	}
}

// learnedAt returns when a version of at least fence was first known here, or the current time if none is known.
func (g *Guardian) learnedAt(fence uint64) time.Duration {
	for _, a := range g.adoptions {
		if a.version >= fence {
			return a.at
		}
	}
	return g.now
}

func (g *Guardian) onWrote(event *schema.OwnershipEvent) {
	if g.pending == nil || event.GetSequence() != g.pending.base {
		// This is the reply to an earlier write, which a read has already resolved.
		return
	}
	write := g.pending
	write.inFlight = false
	switch event.GetOutcome() {
	case schema.WriteOutcome_committed:
		g.pending = nil
		g.adopt(write.next, write.lastSent)
	case schema.WriteOutcome_conflict:
		g.pending = nil
		if event.GetDocument() != nil {
			g.adopt(event.GetDocument(), write.lastSent)
		}
	case schema.WriteOutcome_unknown:
		// The write stays pending until a newer version is seen, because it may still take effect.
		g.readSentAt = never
	}
}

func (g *Guardian) retryWrite() {
	if g.boundByPromise() {
		return
	}
	g.sendWrite()
}

func (g *Guardian) sendWrite() {
	g.pending.inFlight = true
	g.pending.lastSent = g.now
	g.emit(Action{
		Write: &WriteDocument{
			BaseVersion: g.pending.base,
			Next:        g.pending.next,
		},
	})
}

// boundByPromise reports whether this guardian has promised not to write.
func (g *Guardian) boundByPromise() bool {
	for id, p := range g.promisesGiven {
		if p.until <= g.now {
			delete(g.promisesGiven, id)
		}
	}
	return len(g.promisesGiven) > 0
}

func (g *Guardian) emit(a Action) {
	g.actions = append(g.actions, a)
}

// isGuardian reports whether this instance is a guardian in the current document.
func (g *Guardian) isGuardian() bool {
	return FindGuardian(g.document, g.config.Self.GetId()) != nil
}
