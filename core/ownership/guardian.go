package ownership

import (
	"time"

	"cuminlift/schema"
)

// never is a time before every other.
const never = -time.Duration(1 << 62)

// Planner proposes the next document. It returns nil where nothing should change.
type Planner interface {
	Plan(document *schema.Ownership, facts PlanInput) *schema.Ownership
}

// PlanInput is what a planner is told.
type PlanInput struct {
	// Members are alive and not leaving, sorted by id.
	Members []*schema.Member
	// RemovableGuardians holds ids of guardians that have ended or are leaving.
	RemovableGuardians map[string]bool
	// Upstreams is the platform's list for the service, sorted by name.
	Upstreams []*schema.ListedUpstream
	// Down holds upstreams that do not answer.
	Down map[string]bool
	// Alive holds upstreams that answer.
	Alive map[string]bool
	// Out holds what operators took out of service.
	Out []*schema.Out
	// Evicted holds holders whose slices may have gone to a standby during an outage of the platform.
	Evicted map[string]bool
	// Loads holds the measured load of slices by their start, in requests a second.
	Loads map[uint64]*schema.SliceLoad
	// HandoversComplete is true where no slice has a previous owner that may still hold a grant.
	HandoversComplete bool
}

// Config constructs a Guardian.
type Config struct {
	Self    *schema.Member
	Service string
	Timing  Timing
	// Keyed is false for a service whose upstreams own nothing.
	Keyed bool
	// ExtraTakeoverDelay is added to the wait before a take-over where upstreams do not check grants, 0 where they do.
	ExtraTakeoverDelay time.Duration
	Planner            Planner
}

// Guardian is one instance's part in the ownership of one service. It is not safe for concurrent use.
type Guardian struct {
	config Config
	now    time.Duration
	// document is the newest one known; its version is 0 before the first.
	document *schema.Ownership
	// confirmed is the latest time at which document was surely the table's.
	confirmed time.Duration
	// adoptions is sorted by time and by version.
	adoptions []adoption
	write     *pendingWrite
	readSent  time.Duration
	reading   bool
	absent    bool
	peers     map[string]*peer
	// promised holds until when this guardian abstains from writing, by the peer that relies on it.
	promised  map[string]promise
	upstreams map[string]*upstream
	sightings map[string]sighting
	// grants counts the grants sent. Their sequences are never used twice, also for an upstream that was given up and
	// taken back: a late reply must not pass for that to a later grant.
	grants uint64
	facts  *schema.Facts
	dead   map[string]bool
	// evicted and unanimous belong to the document's version.
	evicted   map[string]bool
	unanimous map[string]time.Duration
	loads     map[uint64]*schema.SliceLoad
	// loadsRound counts the measurements of this instance's own loads.
	loadsRound uint64
	stopping   bool
	// dirty is set by a change that peers should hear of at once. toldAll is when they were last told of one.
	dirty bool
	// planned is when the last plan was made, and replan is set by news that may ask for another.
	planned time.Duration
	replan  bool
	// listening is since when this guardian could hear others.
	listening time.Duration
	// alone is true while all other guardians are lost.
	alone bool
	// asked is true while promises are asked for.
	asked     bool
	toldAll   time.Duration
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
	sent     time.Duration
	inFlight bool
}

type promise struct {
	until time.Duration
	echo  uint64
}

// NewGuardian returns a guardian that knows no document.
func NewGuardian(config Config) *Guardian {
	return &Guardian{
		config:    config,
		document:  &schema.Ownership{Service: config.Service},
		confirmed: never,
		readSent:  never,
		peers:     map[string]*peer{},
		promised:  map[string]promise{},
		upstreams: map[string]*upstream{},
		sightings: map[string]sighting{},
		facts:     &schema.Facts{},
		dead:      map[string]bool{},
		evicted:   map[string]bool{},
		unanimous: map[string]time.Duration{},
		loads:     map[uint64]*schema.SliceLoad{},
	}
}

// Step takes one event at time now and returns what has to be done. Times must not go backwards.
func (g *Guardian) Step(now time.Duration, event *schema.OwnershipEvent) []Action {
	before := g.now
	g.now = max(g.now, now)
	g.actions = nil
	g.updateListening(before)
	switch event.GetKind() {
	case schema.EventKind_read:
		g.onRead(event)
	case schema.EventKind_wrote:
		g.onWrote(event)
	case schema.EventKind_heard:
		g.onHeard(event.GetView())
	case schema.EventKind_replied:
		g.onReplied(event.GetReply())
	case schema.EventKind_failed:
		g.onFailed(event.GetUpstream(), event.GetSequence())
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
	g.poll()
	g.plan()
	g.grant()
	g.tell()
}

func (g *Guardian) onListed(facts *schema.Facts) {
	g.facts = facts
	g.replan = true
	for _, id := range facts.GetDead() {
		g.dead[id] = true
	}
	if len(facts.GetLoads()) > 0 {
		g.loadsRound++
		g.takeLoads(facts.GetLoads())
	}
}

// takeLoads merges measured loads into the moving averages.
func (g *Guardian) takeLoads(loads []*schema.SliceLoad) {
	for _, l := range loads {
		merged := &schema.SliceLoad{
			Start:   l.GetStart(),
			Rate:    l.GetRate(),
			Hot:     l.GetHot(),
			HotRate: l.GetHotRate(),
		}
		if old := g.loads[l.GetStart()]; old != nil {
			merged.Rate = old.GetRate() + loadWeight*(l.GetRate()-old.GetRate())
		}
		g.loads[l.GetStart()] = merged
	}
}

// loadWeight is the weight of a new measurement of a slice's load.
const loadWeight = 0.1

// writePatience is how many suspect times an answer to a write is waited for. Then it counts as lost, and the write as
// unresolved.
const writePatience = 10

// poll asks for the table's document at the poll period.
func (g *Guardian) poll() {
	if g.write != nil && g.write.inFlight && g.now-g.write.sent >= writePatience*g.config.Timing.SuspectTimeout {
		g.write.inFlight = false
	}
	if g.reading && g.now-g.readSent < 4*g.config.Timing.PollInterval {
		return
	}
	unresolved := g.write != nil && !g.write.inFlight
	// Reads go at the same times for all services, so that one request serves them all.
	if !unresolved && g.readSent != never && g.now/g.config.Timing.PollInterval == g.readSent/g.config.Timing.PollInterval {
		return
	}
	if unresolved && g.now-g.readSent < g.config.Timing.PollInterval/4 {
		return
	}
	g.reading = true
	g.readSent = g.now
	g.emit(Action{
		Read: &ReadDocument{
			StartedAt:    g.now,
			KnownVersion: g.document.GetVersion(),
		},
	})
}

func (g *Guardian) onRead(event *schema.OwnershipEvent) {
	g.reading = false
	started := time.Duration(event.GetStartedUs()) * time.Microsecond
	document := event.GetDocument()
	if event.GetOutcome() == schema.WriteOutcome_unknown {
		return
	}
	if document.GetVersion() < g.document.GetVersion() {
		// A read that started before a newer version was learned proves nothing about it.
		return
	}
	g.noteAlive(event.GetAlive())
	g.absent = document == nil
	if document != nil {
		g.adopt(document, started)
	}
	if g.write != nil && !g.write.inFlight && document.GetVersion() == g.write.base {
		g.retryWrite()
	}
}

// adopt takes document if it is newer, and confirms it as the table's at time confirmed.
func (g *Guardian) adopt(document *schema.Ownership, confirmed time.Duration) {
	if document.GetVersion() == g.document.GetVersion() {
		g.confirm(confirmed)
		return
	}
	if document.GetVersion() < g.document.GetVersion() {
		return
	}
	if len(document.GetHolders()) == 0 && len(document.GetGuardians()) == 0 {
		// An unchanged row is answered without its content.
		return
	}
	if Validate(document) != nil {
		return
	}
	g.document = document
	g.confirmed = confirmed
	g.adoptions = append(g.adoptions, adoption{
		version: document.GetVersion(),
		at:      g.now,
	})
	if len(g.adoptions) > adoptionsKept {
		g.adoptions = append([]adoption(nil), g.adoptions[len(g.adoptions)-adoptionsKept:]...)
	}
	if g.write != nil && g.write.base < document.GetVersion() {
		g.write = nil
	}
	g.evicted = map[string]bool{}
	g.unanimous = map[string]time.Duration{}
	g.replan = true
	for _, p := range g.peers {
		p.held = never
		p.asked = 0
	}
	g.dirty = true
}

// adoptionsKept bounds the memory of when each version was learned.
const adoptionsKept = 64

func (g *Guardian) confirm(at time.Duration) {
	if at > g.confirmed {
		g.confirmed = at
	}
}

// learned returns when a version of at least fence was first known here.
func (g *Guardian) learned(fence uint64) time.Duration {
	for _, a := range g.adoptions {
		if a.version >= fence {
			return a.at
		}
	}
	return g.now
}

func (g *Guardian) onWrote(event *schema.OwnershipEvent) {
	if g.write == nil || event.GetSequence() != g.write.base {
		// The answer to an earlier write, which has been resolved by a read.
		return
	}
	pending := g.write
	pending.inFlight = false
	switch event.GetOutcome() {
	case schema.WriteOutcome_committed:
		g.write = nil
		g.adopt(pending.next, pending.sent)
	case schema.WriteOutcome_conflict:
		g.write = nil
		if event.GetDocument() != nil {
			g.adopt(event.GetDocument(), pending.sent)
		}
	case schema.WriteOutcome_unknown:
		// The write stays pending until a newer version is seen: it may still take effect.
		g.readSent = never
	}
}

func (g *Guardian) retryWrite() {
	if g.bound() {
		return
	}
	g.sendWrite()
}

func (g *Guardian) sendWrite() {
	g.write.inFlight = true
	g.write.sent = g.now
	g.emit(Action{
		Write: &WriteDocument{
			BaseVersion: g.write.base,
			Next:        g.write.next,
		},
	})
}

// bound reports whether this guardian has promised not to write.
func (g *Guardian) bound() bool {
	for id, p := range g.promised {
		if p.until <= g.now {
			delete(g.promised, id)
		}
	}
	return len(g.promised) > 0
}

func (g *Guardian) emit(a Action) {
	g.actions = append(g.actions, a)
}

// member reports whether this instance is a guardian of the present document.
func (g *Guardian) member() bool {
	return FindGuardian(g.document, g.config.Self.GetId()) != nil
}
