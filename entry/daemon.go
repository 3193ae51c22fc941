// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"streambend.example/clock"
	"streambend.example/conn"
	"streambend.example/mechanism"
	"streambend.example/outage"
	"streambend.example/platform"
	"streambend.example/quota"
	"streambend.example/request"
	"streambend.example/seam"
)

const (
	// headerTimeout and idleTimeout bound the cost of a silent caller. They exceed the times that catalogs
	// name, since a caller may use what the catalog allows.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// dialTimeout is the timeout of a dial within the partner's zones.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	unackedTimeout = 3 * time.Second
	// ownTable is the store table of the project's own rows.
	ownTable = "streambend"
	// tickPeriod is how often time-dependent state is updated.
	tickPeriod = 100 * time.Millisecond
	// gossipPeriod is how often daemons exchange tallies, and quickGossip how often readers do while
	// a team is near its limit.
	gossipPeriod     = 250 * time.Millisecond
	fastGossipPeriod = 100 * time.Millisecond
	// resendPeriod is how often all tallies are sent to the neighbours again, in case a frame was lost
	// with its link.
	resendPeriod = 3 * time.Second
)

// Daemon is a running daemon of an entry box.
type Daemon struct {
	Self   conn.Member
	Server *request.Server
	Hub    *conn.Hub

	network        seam.Network
	without        mechanism.Set
	site           atomic.Pointer[platform.Site]
	log            *logrus.Logger
	store          *platform.Store
	table          *platform.Table
	cloud          *platform.Cloud
	catalog        catalogTracker
	runners        endpointTracker
	tallies        *Tallies
	quotas         *quota.Buckets
	flow           quota.FlowEstimator
	secondRuns     *secondRunLimits
	repeats        *repeatBudget
	sends          sendQueue
	duties         *duties
	rollouts       rolloutController
	forwards       *forwarder
	streams        *streamVersions
	limits         permitGranter
	teams          teamLimiter
	words          reportExchange
	meters         *meters
	unknown        unknownHeaders
	externalClient *http.Client // for the store and the cloud API

	inbound         conn.Connections // connections of callers
	buffers         *request.Memory  // bounds the bodies and answers that are held
	callerListener  net.Listener     // listener for callers
	callers         *http.Server
	checks          *http.Server // readiness checks of the balancer
	peers           *http.Server
	stopping        atomic.Bool
	ready           atomic.Bool
	failingFeeds    atomic.Int32              // number of store feeds that are failing
	limitedFeeds    atomic.Int32              // number of those that the store rejects for their rate
	lastRead        atomic.Pointer[time.Time] // the last read of a feed that succeeded; nil for none
	began           time.Time
	wall            *Wall
	contact         contact
	lastRoster      atomic.Pointer[Roster]
	readerTurn      ReaderSelector
	feeds           tallyFeeds
	reports         outage.Reports
	outageLog       outageLog
	fetching        sync.Mutex    // held while the pieces of a catalog are fetched from another daemon
	fetchingList    sync.Mutex    // the same for the list of endpoints
	incomingCatalog assembly      // the pieces fetched so far
	packedCatalogs  packedCache   // packed catalogs served to other daemons
	suspendedTotal  time.Duration // total time the box was suspended, as last seen; used by one goroutine
	zones           []string      // zones whose member rows are still to be read in this round; used by one goroutine
	asked           int           // rounds of questions to daemons other than readers; used by one goroutine

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Network returns the TCP network of a deployed daemon.
func Network() seam.Network {
	return seam.TCP{DialTimeout: dialTimeout, UnackedTimeout: unackedTimeout}
}

// New starts a daemon, which is ready once it knows the catalog and the endpoints. The mechanisms in
// without are switched off.
func New(site platform.Site, n seam.Network, log *logrus.Logger, without mechanism.Set) (*Daemon, error) {
	ls, err := listen(site, n)
	if err != nil {
		return nil, err
	}
	slept := clock.Refresh() // includes the time before this process started
	d := &Daemon{began: clock.Now(), suspendedTotal: slept, network: n, without: without, log: log, meters: newMeters()}
	d.unknown.log = log
	d.buffers = newBuffers(site)
	d.contact = newContact(d.began)
	d.outageLog.d = d
	d.wall = NewWall(d.began, time.Now())
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.Self = conn.Member{Name: site.Name, Start: time.Now().UnixMilli(), Address: site.PeerAddr, Zone: site.Zone, Power: int(100 * site.CPUShare)}
	d.externalClient = seam.HTTPClient(n, 0)
	d.externalClient.Transport = countingTransport{d.externalClient.Transport, d.meters}
	d.store = platform.NewStore(site.Store, d.externalClient)
	site.First = site.First && d.writeFirstMember(d.ctx) // before anything goes by it
	d.site.Store(&site)
	d.quotas = quota.New(site.First)
	d.table = &platform.Table{Store: d.store, Name: ownTable}
	d.cloud = platform.NewCloud(site.Cloud, d.externalClient)
	d.catalog.d = d
	d.runners = newEndpointTracker(d)
	d.rollouts = newRolloutController(d)
	d.forwards = newForwarder(d)
	d.streams = newStreamVersions(d)
	d.limits, d.teams, d.words = newPermitGranter(d), newTeamLimiter(d), newReportExchange(d)
	d.tallies = NewTallies(d.Self)
	d.secondRuns = newSecondRunLimits(d)
	d.repeats = newRepeatBudget(d)
	d.sends.wake = make(chan struct{}, 1)
	d.Server = request.NewServer(d.options(), conn.NewClient(n, defaultMaxBody), nil, nil, log)
	timing := conn.DefaultTiming()
	timing.FullMesh = fullMesh
	mesh := conn.NewMesh(d.Self, timing)
	// The links are inside the platform's own network. The string that signs them keeps deployments
	// apart; it is not a secret.
	d.Hub = conn.NewHub(mesh, d.Self, n, "streambend "+site.Deployment, log, d.take, d.answer)
	d.duties = newDuties(d)
	d.gauges()
	d.serve(ls)
	d.background()
	log.WithFields(logrus.Fields{"part": "process", "daemon": site.Name, "zone": site.Zone}).Infof("start: %s, without %q", site, without)
	return d, nil
}

// options returns the request options for this site.
func (d *Daemon) options() request.Options {
	o := request.Defaults()
	o.Zone = d.Site().Zone
	o.Grace = 0 // callers disconnect at their deadline
	o.NoLimit = true
	o.RouteWait = defaultRetryAfter
	o.Listed = d.listed
	o.OnConnected, o.OnFirstWrite = d.meters.connected, d.meters.firstWritten
	o.Trials = &d.rollouts
	o.Forwarder = d.forwards
	o.Permits, o.OnAdvertised = &d.limits, d.words.queue
	o.SecondRuns = d.secondRuns
	o.Without = d.without
	o.PreferRendezvous = d.largeFleet
	o.Holds = d.holdShare()
	o.Now, o.RefreshClock = clock.Now, func() { clock.Refresh() }
	if d.without.On(mechanism.SentWords) {
		o.OnSent = d.sends.add
	}
	o.Drain = d.Site().Bounds.Drain
	o.Retries = func(key string) request.Retries { return d.repeats.ledger.Budget(key) }
	return o
}

// updateReady updates the daemon's readiness.
func (d *Daemon) updateReady(now time.Time) {
	c := d.catalog.get()
	age, known := d.catalog.fresh.Age(now)
	listed, _ := d.runners.fresh.Age(now)
	keys := c != nil && c.Keyed() && d.Site().Bounds.StrictRevocation
	stale := keys && age > d.Site().Bounds.Revocation-freshMargin
	stale = stale || !d.catalogCurrent(now, age)
	_, reach := d.listed(now)
	ok := c != nil && known && d.runners.known() && !stale && reach && !d.stopping.Load()
	if d.ready.Swap(ok) != ok {
		d.log.WithFields(logrus.Fields{
			"part": "process", "ready": ok, "catalog": c != nil, "catalog_age_ms": age.Milliseconds(),
			"endpoints_age_ms": listed.Milliseconds(), "stopping": d.stopping.Load(),
		}).Info("readiness changed")
	}
}

// run starts a goroutine that Kill waits for.
func (d *Daemon) run(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// every runs f periodically until the daemon ends.
func (d *Daemon) every(period time.Duration, f func(now time.Time)) {
	d.run(func() {
		for d.ctx.Err() == nil {
			began := time.Now()
			f(clock.Now())
			sleep(d.ctx, period-time.Since(began))
		}
	})
}

// background starts the daemon's background loops.
func (d *Daemon) background() {
	d.run(func() { d.catalog.follow(d.ctx) })
	d.run(func() { d.runners.follow(d.ctx) })
	d.run(func() { d.duties.run(d.ctx) })
	d.run(func() { d.syncMembers(d.ctx) })
	d.run(func() { d.streams.saved.run(d.ctx) })
	d.run(func() { d.loadHolds(d.ctx) })
	d.run(func() { d.askForHolds(d.ctx) })
	d.every(holdsInterval, d.Server.Holds.ResendVerdicts)
	d.every(holdsInterval, d.rollouts.sendReports)
	d.every(evaluationPeriod, d.rollouts.evaluate)
	d.every(tickPeriod, func(time.Time) { d.rollouts.load(d.ctx) })
	d.every(tickPeriod, func(now time.Time) {
		d.checkSuspension()
		d.Server.Works.Tick(now, len(d.Hub.Mesh.Members()))
		d.runners.tick(now)
		d.forwards.tick(now)
		d.Server.Holds.Evaluate(now)
		d.rollouts.tick(now)
		d.words.flush(now)
		d.observeWallClock(now)
		d.updateCutOff(now)
		d.contact.noteAlone(now, len(d.Hub.Mesh.Members()) < 2)
		d.recordOutage(now)
		d.outageLog.update(now)
		d.assumeFlow(now)
		d.updateReady(now)
	})
	d.run(func() { d.syncAtStart(d.ctx) })
	d.run(func() {
		for d.ctx.Err() == nil {
			d.syncWithPeers(d.ctx, clock.Now())
			sleep(d.ctx, d.askPause(clock.Now()))
		}
	})
	d.run(func() {
		for d.ctx.Err() == nil {
			now := clock.Now()
			d.gossip(now)
			sleep(d.ctx, d.gossipPause(now))
		}
	})
	d.run(func() { d.broadcastSends(d.ctx) })
	d.run(func() { d.repeats.report(d.ctx) })
	d.run(func() { d.repeats.recover(d.ctx) })
	d.every(resendPeriod, func(now time.Time) {
		for _, name := range d.Hub.Mesh.NeighbourNames() {
			d.tallies.ForgetNeighbour(name)
		}
		d.tallies.Expire(now, d.Hub.Mesh.Members())
		d.forwards.forgetLeft()
	})
}

// take handles a payload received over a link.
func (d *Daemon) take(_ time.Time, in conn.Delivery) {
	now := clock.Now() // not the argument, which is of the clock of timers
	if in.Payload.Freed > 0 {
		d.duties.noteFreed(in.Payload.Freed)
	}
	d.Server.Holds.Receive(now, in.From, in.Payload)
	d.rollouts.receive(now, in.From, in.Payload.Orders)
	d.words.receive(now, in.From, in.Payload.Words)
	if err := d.repeats.receive(now, in.Payload.Repeats); err != nil {
		d.log.WithField("part", "repeats").Warnf("invalid report on repeats from %s: %v", in.From, err)
	}
	if len(in.Payload.Sends) > 0 {
		d.receiveSends(now, in)
	}
	if len(in.Payload.Tallies) == 0 {
		return
	}
	d.takeTallies(now, in.From, in.Payload.Tallies)
}

// answer answers a question of another daemon.
func (d *Daemon) answer(_ context.Context, from, kind string, body []byte) ([]byte, error) {
	switch kind {
	case askFresh:
		return d.answerFresh(body)
	case askCounts:
		return d.answerTallies(body)
	case askPermit:
		return d.limits.answer(from, body)
	case askRoom:
		return d.limits.answerRoom(from, body)
	case askUnits:
		return d.teams.answer(from, body)
	case askReach:
		return d.forwards.answerReach(body)
	case askRecord:
		return d.streams.answer(body)
	case askHolds:
		return d.Server.Holds.State(clock.Now()), nil
	case askRepeats:
		return d.repeats.answer()
	case tellRepeats:
		return nil, d.repeats.receive(clock.Now(), body)
	case tellRecords:
		return nil, d.streams.receive(body)
	case askTallies:
		return d.answerWholeTallies(from, body)
	}
	return nil, errors.Errorf("entry: unknown question %q", kind)
}

// others returns the other daemons in the mesh.
func (d *Daemon) others() []conn.Member {
	var out []conn.Member
	for _, m := range d.Hub.Mesh.Members() {
		if m.Name != d.Self.Name {
			out = append(out, m)
		}
	}
	return out
}

// assumeFlow charges an estimate of what other daemons admit while no reader reports it. A reader
// itself gets the reports of all daemons.
func (d *Daemon) assumeFlow(now time.Time) {
	if d.isReader() {
		d.flow.Forget()
		return
	}
	d.chargeAll(now, d.flow.Assume(now))
}

// begun counts a request that an endpoint has started to process.
func (d *Daemon) begun(team string, at time.Time) {
	if team != "" {
		d.tallies.Begin(team, d.window(at))
	}
}

// window returns the number of the usage window that contains at.
func (d *Daemon) window(at time.Time) int64 {
	return d.wall.At(at).UnixNano() / d.Site().Bounds.UsageWindow.Nanoseconds()
}

// observeWallClock tracks the box's wall clock.
func (d *Daemon) observeWallClock(now time.Time) {
	step, begins, believed := d.wall.Observe(now, time.Now())
	if begins || believed {
		d.log.WithFields(logrus.Fields{"part": "process", "step_ms": step.Milliseconds(), "believed": believed}).
			Warn("the box's wall clock has stepped: usage windows follow it once the step has lasted a minute")
	}
}

// instanceOf returns a name for one start of a daemon.
func instanceOf(m conn.Member) string { return fmt.Sprintf("%s#%d", m.Name, m.Start) }
